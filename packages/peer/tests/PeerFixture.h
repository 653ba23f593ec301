#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>

#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/peer/MessageAuthenticator.h"
#include "boragerack/peer/PeerHandler.h"
#include "boragerack/peer/PeerLink.h"
#include "boragerack/peer/PeerResponder.h"
#include "boragerack/peer/PeerServer.h"
#include "boragerack/runtime/FiberRuntime.h"

namespace boragerack::peer {

inline core::TimePoint deadlineIn(std::chrono::milliseconds duration)
{
    return std::chrono::steady_clock::now() + duration;
}

inline std::shared_ptr<const MessageAuthenticator>
makeAuthenticator(const std::string &self, std::string_view secret = "a fleet secret for tests",
                  std::uint64_t incarnation = 7)
{
    return core::takeValue(
        MessageAuthenticator::make(secret, core::InstanceId {self}, incarnation));
}

/// Grants every budget request in full; passes other messages to the callback of the test.
class TestHandler final : public PeerHandler
{
public:
    void handle(const Envelope &request, PeerResponder reply) override
    {
        ++handled;
        if (const auto *budgetRequest = std::get_if<decisions::BudgetRequest>(&request.body)) {
            reply.sendReply(decisions::BudgetGrant {budgetRequest->id,
                                                    budgetRequest->share,
                                                    budgetRequest->organisation,
                                                    7,
                                                    true,
                                                    budgetRequest->wantedTokens,
                                                    {}});
        } else if (other) {
            other(request, std::move(reply));
        }
    }

    int handled = 0;
    std::function<void(const Envelope &, PeerResponder)> other;
};

/// A server "b" on a loopback port, and a factory for links from "a" to it.
struct PeerFixture
{
    explicit PeerFixture(const PeerServerOptions &options = {})
        : serverOptions(options)
    {
        startServer("127.0.0.1:0");
    }

    void startServer(const std::string &where, std::uint64_t incarnation = 7)
    {
        server = std::make_unique<PeerServer>(
            fiberRuntime.ioContext(), handler,
            makeAuthenticator("b", "a fleet secret for tests", incarnation), serverOptions, charts);
        auto result = server->listen(where);
        BOOST_REQUIRE(core::isOk(result));
        address = core::takeValue(std::move(result));
    }

    std::shared_ptr<PeerLink> makeLink(const PeerLinkOptions &options = {},
                                       const std::string &toAddress = {},
                                       std::string_view secret = "a fleet secret for tests")
    {
        return core::takeValue(
            PeerLink::make(fiberRuntime.ioContext(),
                           {core::InstanceId {"b"}, toAddress.empty() ? address : toAddress, 1},
                           makeAuthenticator("a", secret), options, charts, random));
    }

    runtime::FiberRuntime fiberRuntime;
    core::SeededRandomSource random {1};
    std::shared_ptr<const PeerCharts> charts =
        core::takeValue(loadPeerCharts(BORAGERACK_CHARTS_DIR));
    PeerServerOptions serverOptions;
    TestHandler handler;
    std::unique_ptr<PeerServer> server;
    std::string address;
};

inline decisions::BudgetRequest makeBudgetRequest(std::uint64_t sequence)
{
    return {{core::InstanceId {"a"}, 7, sequence},
            {3, 1},
            core::OrganisationId {"cascadia-yards"},
            20000,
            {}};
}

inline std::uint64_t sequenceOf(const core::Result<Envelope> &answer)
{
    if (!core::isOk(answer))
        BOOST_FAIL(core::errorOf(answer).message);
    return std::get<decisions::BudgetGrant>(core::valueOf(answer).body).id.sequence;
}

} // namespace boragerack::peer
