#include "boragerack/standins/StandinProgram.h"

#include <csignal>
#include <iostream>

#include <boost/asio/signal_set.hpp>

#include "boragerack/runtime/Await.h"
#include "boragerack/runtime/FiberRuntime.h"
#include "boragerack/runtime/HttpServer.h"

namespace boragerack::standins {

int serveUntilSignal(runtime::HttpHandler &handler, const std::string &address)
{
    runtime::FiberRuntime fiberRuntime;
    runtime::HttpServer server(fiberRuntime.ioContext(), handler, {});
    const auto listening = server.listen(address);
    if (!core::isOk(listening)) {
        std::cerr << core::errorOf(listening).message << std::endl;
        return 3;
    }
    std::cout << "listening " << core::valueOf(listening) << std::endl;
    boost::asio::signal_set signals(fiberRuntime.ioContext(), SIGTERM, SIGINT);
    runtime::awaitIo([&](auto completion) {
        signals.async_wait(
            [completion = std::move(completion)](const boost::system::error_code &error,
                                                 int) mutable { completion(error); });
    });
    // Exits without waiting for open streams.
    std::cout.flush();
    std::_Exit(0);
}

} // namespace boragerack::standins
