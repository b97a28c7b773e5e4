#pragma once

#include "base/types.h"
#include "routing/routingtypes.h"

#include <map>
#include <string>
#include <utility>

namespace rosemaryshift::gateway {

/// Estimates how long a request takes until its answer is complete, from the requests that were answered, by their service and kind. Not thread-safe.
class AnswerTimes
{
public:
    /// Records that a request was answered completely after @p time.
    void note(const std::string &service, routing::RequestKind kind, Duration time);
    /// Time within which most requests are answered: the mean and two mean deviations. Zero when none was answered yet.
    [[nodiscard]] Duration expected(const std::string &service, routing::RequestKind kind) const;

private:
    struct Estimate {
        Duration mean{0};
        Duration deviation{0};
    };

    std::map<std::pair<std::string, routing::RequestKind>, Estimate> m_estimates;
};

}
