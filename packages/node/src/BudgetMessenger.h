#pragma once

#include "boragerack/decisions/BudgetTypes.h"

namespace boragerack::node {

/// Sends token budget messages to other nodes. Messages may be lost or duplicated.
class BudgetMessenger
{
public:
    BudgetMessenger() = default;
    BudgetMessenger(const BudgetMessenger &) = delete;
    BudgetMessenger &operator=(const BudgetMessenger &) = delete;
    virtual ~BudgetMessenger() = default;

    virtual void sendBudgetRequest(const core::InstanceId &holder,
                                   const decisions::BudgetRequest &ask) = 0;
    virtual void sendGrant(const core::InstanceId &borrower,
                           const decisions::BudgetGrant &grant) = 0;
    virtual void sendReturn(const core::InstanceId &holder,
                            const decisions::BudgetReturn &message) = 0;
};

} // namespace boragerack::node
