#pragma once

#include "decisions/idecisioncore.h"
#include "decisions/isystem.h"
#include "decisions/iupstreamchooser.h"

#include <memory>

namespace rosemaryshift::decisions {

/// Hedges idempotent requests other than plans whose first token is late: starts a second attempt at another upstream, within a budget. The attempt
/// that produces output first continues, the other one is cancelled (Dean and Barroso, The Tail at Scale, 2013).
class HedgeSystem : public ISystem
{
public:
    HedgeSystem(const PolicySettings &settings, std::unique_ptr<IUpstreamChooser> chooser);
    void run(Tables &tables, TickContext &context) override;

private:
    void keepFaster(Tables &tables, TickContext &context, AttemptId attempt);
    void hedge(Tables &tables, TickContext &context, RequestId request);

    PolicySettings m_settings;
    std::unique_ptr<IUpstreamChooser> m_chooser;
    std::uint64_t m_hedges = 0; ///< Number of hedges started.
};

}
