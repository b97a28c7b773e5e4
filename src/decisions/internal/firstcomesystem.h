#pragma once

#include "decisions/isystem.h"
#include "decisions/iupstreamchooser.h"

#include <deque>
#include <memory>

namespace rosemaryshift::decisions {

/// Starts requests strictly in the order of their arrival, regardless of workspace and traffic class. The baseline to compare RoutingSystem with.
class FirstComeSystem : public ISystem
{
public:
    explicit FirstComeSystem(std::unique_ptr<IUpstreamChooser> chooser);
    void run(Tables &tables, TickContext &context) override;

private:
    /// Starts the first request of the queue; false when it has to wait. True also when the request has already ended.
    bool startFirst(Tables &tables, TickContext &context);

    std::unique_ptr<IUpstreamChooser> m_chooser;
    std::deque<RequestId> m_queue;
};

}
