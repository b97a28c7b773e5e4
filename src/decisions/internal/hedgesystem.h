#pragma once

#include "decisions/idecisioncore.h"
#include "decisions/isystem.h"
#include "decisions/iupstreamchooser.h"

#include <memory>

namespace rosemaryshift::decisions {

/// Starts a second attempt, at another upstream, of short idempotent requests whose first token is late, from a budget;
/// the one that gives a token first stays (Dean and Barroso, The Tail at Scale, 2013).
class HedgeSystem : public ISystem
{
public:
    HedgeSystem(const PolicySettings &settings, std::unique_ptr<IUpstreamChooser> chooser);
    void run(Tables &tables, TickContext &context) override;

private:
    void keepFirst(Tables &tables, TickContext &context, AttemptId attempt);
    void hedge(Tables &tables, TickContext &context, RequestId request);

    PolicySettings m_settings;
    std::unique_ptr<IUpstreamChooser> m_chooser;
    std::uint64_t m_hedges = 0; ///< Started so far.
};

}
