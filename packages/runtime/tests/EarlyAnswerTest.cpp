#include <boost/test/unit_test.hpp>

#include <string>

#include "boragerack/runtime/FiberRuntime.h"
#include "boragerack/runtime/HttpClient.h"
#include "boragerack/runtime/HttpMessage.h"
#include "boragerack/standins/RawHttpServer.h"

namespace boragerack::runtime::testing {

namespace {

using namespace std::chrono_literals;
using standins::RawHttpServer;

const std::string kBeginning = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe beginning";

constexpr std::size_t kUploadBytes = 4100000;

struct ClientFixture
{
    core::Result<HttpResponse> upload(const RawHttpServer &server, std::size_t bytes)
    {
        return client.call(server.address(), {"POST", "/", {}, std::string(bytes, 'u')},
                           std::chrono::steady_clock::now() + 5s, ConnectionUse::New);
    }

    FiberRuntime fibers;
    HttpClient client {fibers.ioContext(), HttpClientOptions()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EarlyAnswerTest, ClientFixture)

// Guards against a part of an answer that counts as complete: the write of the upload consumes the
// error of a reset, so that the read sees the end of the connection.
BOOST_AUTO_TEST_CASE(resetDuringAnUploadIsNoEndOfTheAnswer)
{
    for (const std::size_t bytes : {1500000U, 2100000U, 2800000U, 3500000U, 4100000U}) {
        for (int delay = 0; delay <= 30; delay += 3) {
            RawHttpServer server([delay](const std::string &) {
                return RawHttpServer::Answer {kBeginning, std::chrono::milliseconds(delay)};
            });
            const auto result = upload(server, bytes);
            BOOST_TEST(!core::isOk(result), bytes << " bytes, reset after " << delay << " ms");
        }
    }
}

// Guards against a sound answer that fails because it has no length and precedes the end of the
// upload.
BOOST_AUTO_TEST_CASE(answerWithoutALengthIsCompleteOnceTheUploadWasRead)
{
    RawHttpServer server([](const std::string &) {
        return RawHttpServer::Answer {.bytes = kBeginning, .closeAfterBytes = kUploadBytes};
    });
    const auto result = upload(server, kUploadBytes);
    BOOST_REQUIRE(core::isOk(result));
    BOOST_TEST(core::valueOf(result).body == "the beginning");
}

// Guards against a status that is none, which is waited for until the request times out, or passed
// on as an answer.
BOOST_AUTO_TEST_CASE(invalidStatusFailsAtOnce)
{
    for (const std::string status : {"000", "001", "099", "101", "600", "999"}) {
        RawHttpServer server([&status](const std::string &) {
            return RawHttpServer::Answer {"HTTP/1.1 " + status
                                          + " Odd\r\nContent-Length: 2\r\n\r\nok"};
        });
        const auto start = std::chrono::steady_clock::now();
        const auto result = upload(server, 10);
        BOOST_TEST_CONTEXT(status)
        {
            BOOST_REQUIRE(!core::isOk(result));
            BOOST_TEST((core::errorOf(result).verdict == core::Verdict::MayHaveRun));
            BOOST_TEST((core::errorOf(result).code == core::ErrorCode::ProtocolViolation));
            BOOST_TEST((std::chrono::steady_clock::now() - start < 1s));
        }
    }
}

// Guards against an answer that fails because others of the status 1xx precede it.
BOOST_AUTO_TEST_CASE(interimResponsesPrecedeTheAnswer)
{
    RawHttpServer server([](const std::string &) {
        return RawHttpServer::Answer {"HTTP/1.1 100 Continue\r\n\r\n"
                                      "HTTP/1.1 103 Early Hints\r\n\r\n"
                                      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
    });
    const auto result = upload(server, 10);
    BOOST_REQUIRE(core::isOk(result));
    BOOST_TEST(core::valueOf(result).body == "ok");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::runtime::testing
