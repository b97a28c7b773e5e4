#pragma once

#include "balancing/internal/leastsquares.h"
#include "base/types.h"

#include <cstdint>

namespace rosemaryshift::balancing {

/// What the time to a first event depends on, apart from the upstream's slowness.
struct PrefillWork {
    std::uint64_t promptTokens = 0;
    std::uint64_t uncachedTokens = 0; ///< Of the request itself.
    std::uint64_t aheadTokens = 0;    ///< Uncached tokens of other requests of this host that the upstream processes first.
    std::uint64_t reportedTokens = 0; ///< The same of other hosts' requests, as they last reported; some may have been processed since.
    std::uint32_t running = 0;        ///< Requests that run at the upstream.
};

/// Times that an average engine of one service takes, in milliseconds, fitted to samples. The time to a first event has a part that is the same for all
/// requests, one for each uncached token, one for each uncached token and each token before it (attention), one for each token that other hosts
/// reported, and one for each running request. Samples
/// count by their relative error, so that small and large prompts are estimated equally well. Not thread-safe.
class LatencyModel
{
public:
    LatencyModel();

    /// Expected time to the first event.
    [[nodiscard]] double firstEvent(const PrefillWork &work) const;
    /// The part of it by which the uncached tokens of the request itself delay other requests.
    [[nodiscard]] double ownPrefill(const PrefillWork &work) const;
    /// Adds a sample of the time to a first event.
    void addFirstEvent(const PrefillWork &work, double took);
    /// Expected time between two events of a stream beside @p running requests; nothing was measured before hasGaps().
    [[nodiscard]] double gap(std::uint32_t running) const;
    [[nodiscard]] bool hasGaps() const;
    /// Adds the mean time between the events of a stream.
    void addGap(std::uint32_t running, double mean);
    /// Expected time from a first event to the end of a request.
    [[nodiscard]] double remainder() const;
    /// Adds a sample of the time from a first event to the end of a request.
    void addRemainder(double took);

private:
    static constexpr std::size_t PrefillInputs = 5;
    static constexpr std::size_t GapInputs = 2;

    LeastSquares<PrefillInputs> m_firstEvent;
    LeastSquares<GapInputs> m_gap;
    std::uint64_t m_gapSamples = 0;
    double m_remainder;
};

}
