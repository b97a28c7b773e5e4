#include "gateway/internal/quotareport.h"

#include "gateway/internal/hostclock.h"

#include <algorithm>
#include <array>

namespace rosemaryshift::gateway {

namespace {

/// A workspace that asked for more than its quota ceases to do so below this part of it.
constexpr double EndedFraction = 0.8;
constexpr double Percent = 100;

std::int64_t percent(double value, double of)
{
    return of > 0 ? static_cast<std::int64_t>(Percent * value / of) : 0;
}

std::string classLabel(bool over)
{
    return over ? R"(class="over")" : R"(class="within")";
}

}

QuotaReport::QuotaReport(GatewayContext &context, GossipEndpoint &gossip)
    : m_context(context)
    , m_gossip(gossip)
{
}

void QuotaReport::applyConfiguration(TimePoint now)
{
    const std::shared_ptr<const routing::RouteTable> table = m_context.configuration.table();
    const routing::Configuration &configuration = table->configuration();
    const bool windows
        = std::ranges::any_of(configuration.services, [&table](const routing::Service &service) { return table->hasYieldingSingleAttempts(service.name); });
    const bool changed = m_context.quotas.useWindows(windows);
    if (changed) {
        m_reported.clear();
        m_context.eventLog.write("quota_rule",
                                 eventlog::Importance::StateChange,
                                 {{"rule", windows ? "sliding_windows" : "token_buckets"}, {"window_ms", wholeMilliseconds(m_context.settings.quotas.window)}});
    }
    m_context.quotas.configure(configuration.workspaces, now);
    if (changed) {
        m_gossip.informQuotaRule(now);
    }
}

void QuotaReport::update(TimePoint now)
{
    std::array<double, 2> used{};
    std::array<double, 2> allowed{};
    double held = 0;
    const std::vector<limits::QuotaUse> uses = m_context.quotas.uses(now);
    for (const limits::QuotaUse &use : uses) {
        Reported &reported = m_reported[use.workspace];
        noteChange(use, reported);
        count(use, reported);
        used.at(reported.over ? 1 : 0) += use.used;
        allowed.at(reported.over ? 1 : 0) += use.allowed;
        held += use.held;
    }
    if (uses.empty()) {
        return;
    }
    for (const bool over : {false, true}) {
        const std::size_t index = over ? 1 : 0;
        m_context.metrics.set("rosemaryshift_quota_used_ratio", classLabel(over), allowed.at(index) > 0 ? used.at(index) / allowed.at(index) : 0);
    }
    m_context.metrics.set("rosemaryshift_quota_ignored_reports", "", static_cast<double>(m_context.quotas.ignoredReports()));
    noteIgnored();
    const double sum = allowed[0] + allowed[1];
    m_context.metrics.set("rosemaryshift_quota_held_ratio", "", sum > 0 ? held / sum : 0);
}

void QuotaReport::noteIgnored()
{
    const std::uint64_t ignored = m_context.quotas.ignoredReports();
    if (ignored > m_ignored) {
        m_context.eventLog.write("quota_report_ignored", eventlog::Importance::Failure, {{"reports", static_cast<std::int64_t>(ignored - m_ignored)}});
    }
    m_ignored = ignored;
}

void QuotaReport::noteChange(const limits::QuotaUse &use, Reported &reported)
{
    const bool over = use.demanded > use.allowed * (reported.over ? EndedFraction : 1);
    if (over == reported.over) {
        return;
    }
    reported.over = over;
    m_context.eventLog.write("quota",
                             eventlog::Importance::StateChange,
                             {{"workspace", use.workspace},
                              {"change", over ? "exceeded" : "kept"},
                              {"demanded_percent", percent(use.demanded, use.allowed)},
                              {"used_percent", percent(use.used, use.allowed)},
                              {"held_percent", percent(use.held, use.allowed)},
                              {"admitted_percent", percent(use.probability, 1)}});
}

void QuotaReport::count(const limits::QuotaUse &use, Reported &reported)
{
    const auto grow = [this, &reported](std::string_view outcome, double total, double &known) {
        if (total >= known + 1) {
            const std::uint64_t more = static_cast<std::uint64_t>(total - known);
            m_context.metrics.count("rosemaryshift_quota_units_total", classLabel(reported.over) + R"(,outcome=")" + std::string(outcome) + R"(")", more);
            known += static_cast<double>(more);
        }
    };
    grow("granted", use.granted, reported.granted);
    grow("refused", use.refused, reported.refused);
}

}
