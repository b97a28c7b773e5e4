#pragma once

#include "decisions/isystem.h"
#include "decisions/iupstreamchooser.h"

#include <deque>
#include <memory>

namespace rosemaryshift::decisions {

/// Starts requests strictly in the order of their arrival, whatever their workspace and class. The plain alternative to RoutingSystem.
class FirstComeSystem : public ISystem
{
public:
    explicit FirstComeSystem(std::unique_ptr<IUpstreamChooser> chooser);
    void run(Tables &tables, TickContext &context) override;

private:
    bool startFirst(Tables &tables, TickContext &context);

    std::unique_ptr<IUpstreamChooser> m_chooser;
    std::deque<RequestId> m_order;
};

}
