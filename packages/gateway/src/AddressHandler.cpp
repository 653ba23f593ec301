#include "AddressHandler.h"

#include "boragerack/decisions/serving/AddressChoice.h"
#include "boragerack/runtime/HttpResponder.h"

namespace boragerack::gateway {

AddressHandler::AddressHandler(const CallerProtocol &protocol, const RoutingTask &routing,
                               const LifecycleTask &lifecycle, decisions::FleetMember self,
                               std::chrono::milliseconds addressLifetime)
    : protocol_(protocol)
    , routing_(routing)
    , lifecycle_(lifecycle)
    , self_(std::move(self))
    , addressLifetime_(addressLifetime)
{
}

void AddressHandler::handle(const runtime::HttpRequest &request, runtime::HttpResponder &responder)
{
    if (protocol_.isReadyQuery(request)) {
        responder.send({lifecycle_.isReady() ? 200U : 503U, {}, {}});
        return;
    }
    const auto query = protocol_.decodeAddressQuery(request);
    if (!query) {
        responder.send({404, {}, {}});
        return;
    }
    const auto addresses = addressesFor(*query);
    if (addresses.empty())
        responder.send({503, {}, {}});
    else
        responder.send(protocol_.encodeAddressAnswer(addresses, addressLifetime_));
}

std::vector<std::string> AddressHandler::addressesFor(const AddressQuery &query) const
{
    const auto fleet = routing_.fleet().get();
    std::vector<decisions::FleetMember> members;
    if (!fleet->isStale)
        members = fleet->members;
    std::erase_if(members, [&](const decisions::FleetMember &member) {
        return member.instance == self_.instance;
    });
    if (!lifecycle_.isStopping())
        members.push_back(self_);
    return decisions::chooseAddresses(members, query.dataCentre);
}

} // namespace boragerack::gateway
