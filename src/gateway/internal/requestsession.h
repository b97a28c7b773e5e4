#pragma once

#include "gateway/internal/attemptstate.h"
#include "gateway/internal/eventsplitter.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/streammoves.h"
#include "gateway/internal/streampauses.h"
#include "gateway/internal/streamregistry.h"
#include "http/ihttpclient.h"
#include "http/ihttpserver.h"
#include "secondtries/racingexchange.h"
#include "secondtries/secondtrypolicy.h"

#include <memory>
#include <set>

namespace rosemaryshift::gateway {

/// Handles one attempt of a caller, from its arrival to the final response. Used from the coroutine of the caller's connection.
class RequestSession : public IMovableStream, public std::enable_shared_from_this<RequestSession>, private secondtries::IRaceDecisions
{
public:
    /// @p fromPeer: a peer that reaches no upstream has forwarded the request.
    RequestSession(GatewayContext &context, StreamRegistry &streamRegistry, http::Request request, http::IResponseWriter &writer, bool fromPeer);

    ~RequestSession() override;
    RequestSession(const RequestSession &) = delete;
    RequestSession &operator=(const RequestSession &) = delete;

    /// Sends the caller a response, or closes the connection when a response that was started cannot be completed.
    boost::asio::awaitable<void> run();
    /// Has run() give the caller an answer now, since the process is about to exit. Called from the gateway's thread.
    void endByStop();

    [[nodiscard]] moves::StreamProgress progress(TimePoint now) const override;
    [[nodiscard]] std::optional<balancing::Choice> chooseDestination(const std::set<std::string> &excluded, TimePoint now) override;
    void stopReading() override;

private:
    /// Maximum number of responses to earlier requests that are skipped on one connection.
    static constexpr int MaxSkippedResponses = 2;

    /// Time before the deadline that is reserved for sending the response back to the caller, until a stream has started.
    static constexpr std::chrono::milliseconds ResponseMargin{20};

    /// Timeout of connecting to an upstream. Nothing has been sent by then, so that another upstream can be tried.
    static constexpr std::chrono::milliseconds ConnectTimeout{400};

    /// Retry-After for a caller when no upstream is listed, or none took the request.
    static constexpr std::chrono::milliseconds UpstreamRetryDelay{150};

    /// How one dispatch to an upstream ended.
    enum class DispatchResult : std::uint8_t {
        Done,       ///< The caller got its final response, or closed the connection.
        TryAnother, ///< The caller got no final response; another upstream may be tried.
    };

    /// What the answers that make up one stream have in common.
    struct StreamFormat {
        int status = 0;
        std::string contentType;
        std::string contentEncoding;

        bool operator==(const StreamFormat &) const = default;
    };

    /// Counts a request whose caller has left by how far it had come.
    void countCallerGone();
    /// Reads the caller's headers and finds the route and the workspace. Returns false, with the rejection set, when the request cannot be served.
    bool routeAndAuthenticate();
    /// Whether this host, by its load, can answer the request in time. Returns false, with the rejection set, when it is not to be handled.
    bool admitByLoad();
    /// Whether the request, sent now, ends before this process has to; true unless the process was told to stop. @p expected: estimated time until its answer
    /// begins. Sets the reason if not.
    bool endsBeforeStop(Duration expected, TimePoint now);
    /// Records how long the request took until its answer was complete.
    void noteAnswerTime(TimePoint now);
    /// Records that the request is ended because the process has to exit, and how.
    void noteEndedByStop();
    /// Records that the request, if it was admitted, no longer waits for the beginning of its answer.
    void noteAnswering();
    /// Chooses the service. Returns false, with the rejection set, when the request is not admitted.
    bool admit();
    /// Takes the cost from the workspace's quota, once. Returns false, with the rejection set, when the quota is used up.
    bool chargeQuota();
    void refundQuota();
    /// Whether no suspect in quarantine keeps the request from the upstreams; sets the reason if one does. A request that is sent as a trial is recorded.
    boost::asio::awaitable<bool> admitByQuarantine();
    /// Whether a suspect in quarantine keeps further tries of the request from the upstreams; sets the reason if so.
    [[nodiscard]] bool isQuarantined();
    void noteQuarantined(const quarantine::Rejection &rejection);
    /// Does what has to precede the first dispatch to an upstream. Returns false when it has rejected the request.
    boost::asio::awaitable<bool> prepareDispatch();
    /// The peer to forward the request to because this host reaches no upstream; null when there is none, or no need.
    const gossip::Peer *peerToForwardTo(TimePoint now);
    /// Has a peer handle the request, and passes its answer on.
    boost::asio::awaitable<DispatchResult> forwardToPeer(gossip::PeerStatus peer);
    boost::asio::awaitable<void> relayAnswer(http::Response answer);
    /// Ends a request of which the peer's answer is missing.
    boost::asio::awaitable<void> endForwarding();
    /// Whether the caller still waits for an answer; sets the reason if not.
    bool callerWaits(TimePoint now);
    /// Whether the upstream of the current dispatch may be sent the request; sets the reason if not.
    bool upstreamAccepts(TimePoint now);
    /// The request as it is sent to the upstream of the current dispatch, whose connection is open; nothing, with the reason set, when it is not to be sent
    /// any more.
    std::optional<http::Request> requestForUpstream();
    /// The same for a peer that accepts forwarded requests with this @p token.
    std::optional<http::Request> requestForPeer(std::string_view token);
    /// Records that the current dispatch was withdrawn before its request was sent.
    void noteWithdrawn();
    /// Notes that the upstream of the last dispatch was not reached, if that is what @p failure says.
    void noteUnreached(const http::ClientFailure &failure);
    /// Sends the request to @p upstream and forwards its response.
    boost::asio::awaitable<DispatchResult> dispatchTo(const balancing::Choice &choice, const directory::UpstreamEntry &upstream);
    /// Whether to leave the upstream of the current dispatch, which sends nothing, because another one can take over at once; the current answer goes on
    /// otherwise. Precondition: called from the exchange of that dispatch.
    boost::asio::awaitable<bool> leaveSilentUpstream();
    /// Records that the upstream of the current dispatch sends nothing, and whether it is left.
    void noteSilence(bool leaves);
    /// Chooses the upstream that takes over, opens a connection to it and takes the retry. Returns false, with the reason set, when that is not possible.
    boost::asio::awaitable<bool> findSuccessor();
    /// Opens a connection to an upstream for the next dispatch.
    boost::asio::awaitable<bool> connectTo(const balancing::Choice &choice);
    /// Logs that @p upstream is sent the request.
    void logOffer(const balancing::Choice &choice, const directory::UpstreamEntry &upstream);
    /// The exchange for a dispatch that is about to be sent, which may send a second try beside it.
    std::shared_ptr<http::IExchange> makeDispatchExchange(const boost::asio::any_io_executor &executor);
    std::optional<secondtries::TryRequest> startSecondTry() override;
    secondtries::HeadVerdict judge(secondtries::TryNumber number, const http::Response &head, bool unexpected) override;
    void noteTryEnded(secondtries::TryNumber number, const secondtries::TryEnd &end) override;
    /// Records how the current try ended, which the race goes on without.
    void endCurrentTry(const secondtries::TryEnd &end);
    /// Chooses the upstream of a second try and takes what it costs. Nothing, with m_secondNotSent set, when none is to be sent now.
    std::optional<balancing::Choice> chooseSecondUpstream(TimePoint now);
    /// Makes the other try the current one, and the other way round. Precondition: both exist.
    void swapTries();
    /// Records what became of the second try, which is the current one. @p reason: why it has failed; empty if it has not.
    void endSecondTry(std::string_view result, std::string_view reason);
    /// Records how a race ended: the same if the second try is the current one, or why none was sent. @p reason: why it has failed if not @p answered.
    void concludeRace(bool answered, std::string_view reason);
    /// What an upstream's answer states. @p unexpected: it may repeat the answer to an earlier request, and then says nothing about this one.
    [[nodiscard]] ports::ResponseMetadata metadataOf(const http::Response &response, bool unexpected) const;
    /// Whether @p response is an answer that the caller should get, even if another try may bring one.
    [[nodiscard]] bool isAnswer(const http::Response &response, const ports::ResponseMetadata &metadata) const;
    /// Records the time that the answer of the current dispatch took to begin.
    void noteTimeToAnswer();
    [[nodiscard]] secondtries::RequestClass requestClass() const;
    [[nodiscard]] static bool isSuccess(int status);
    /// Whether @p response proves to answer this request.
    [[nodiscard]] bool isTrusted(const http::Response &response, const ports::ResponseMetadata &metadata) const;
    boost::asio::awaitable<DispatchResult> handleResponse(http::Response upstreamResponse, const ports::ResponseMetadata &metadata);
    boost::asio::awaitable<DispatchResult> forwardStream(http::Response upstreamResponse);
    /// Records that the stream comes from the upstream of the current dispatch from now on, so that it may be moved from there.
    void followRun();
    /// Records that the caller was sent @p events.
    void notePassedOn(std::string_view events);
    /// Releases what is held for a move; the stream is not moved any more.
    void endRun();
    /// Waits for the move of the stream, which has ended without its end. Returns whether it goes on elsewhere; m_continuation is set then.
    boost::asio::awaitable<bool> awaitMove();
    /// Whether the end of the connection, which is also the end of a stream without framing, may come from the stop of a run that is moved.
    [[nodiscard]] bool endMayBeStop() const;
    /// Waits as awaitMove(). Returns whether the run may have been stopped, so that its stream is not complete.
    boost::asio::awaitable<bool> awaitStop();
    /// Sends the request to the upstream at which its run goes on. Precondition: m_continuation is set.
    boost::asio::awaitable<DispatchResult> dispatchContinuation();
    /// Whether a stream whose body has just ended was broken off by its upstream. @p receivedEvent: a whole event came before the end.
    [[nodiscard]] bool isTruncatedStream(bool receivedEvent) const;
    boost::asio::awaitable<DispatchResult> forwardWhole(http::Response upstreamResponse, const ports::ResponseMetadata &metadata);
    boost::asio::awaitable<std::optional<std::string>> readBody(http::ClientFailure &failure);
    /// Ends a request that no upstream completed: rejects it as not run, reports that it may have run, or cuts a stream that was started.
    boost::asio::awaitable<void> respondWithFailure();
    boost::asio::awaitable<void> reject(int status, std::string_view reason, std::optional<Duration> retryAfter);
    boost::asio::awaitable<void> respond(http::Response response);

    /// Whether the caller resumes a stream that broke off in an earlier attempt.
    [[nodiscard]] bool callerResumes() const;
    /// Finds out which software version began the stream that the caller resumes. Returns false, with the reason set, when no upstream may continue it.
    boost::asio::awaitable<bool> findStreamOrigin();
    /// Notes which software version began the stream, before its first event is passed on, and has it recorded if needed. Returns false, with the reason
    /// set, when the event must not be passed on because other hosts would take the stream for one of another version.
    boost::asio::awaitable<bool> beginStream();
    /// The only software version at which a stream may begin, because this host can't record others; nothing when all may begin one.
    [[nodiscard]] std::optional<std::string> versionWithoutRecord(TimePoint now) const;
    /// Whether an upstream of the version whose streams need no record may be sent requests.
    [[nodiscard]] bool defaultVersionServed(TimePoint now) const;
    [[nodiscard]] static StreamFormat streamFormat(const http::Response &answer);
    /// Whether @p answer may be the rest of the stream that was started; its status is no error then.
    [[nodiscard]] bool continuesStream(const http::Response &answer) const;
    /// Whether @p upstream may continue a stream that @p softwareVersion began.
    [[nodiscard]] bool mayBeContinuedBy(const directory::Upstream &upstream, const std::string &softwareVersion) const;
    /// Whether no upstream of the version that began the stream is left.
    [[nodiscard]] bool streamVersionGone(TimePoint now) const;
    [[nodiscard]] streams::StreamKey streamKey(std::string_view attemptId) const;

    /// Whether the request is sent although more urgent ones wait at @p candidates; sets the reason if not.
    [[nodiscard]] bool admitYielding(std::span<const balancing::Candidate> candidates);
    [[nodiscard]] std::optional<balancing::Choice> chooseUpstream(TimePoint now);
    /// Chooses among the upstreams whose software version may run the request.
    [[nodiscard]] std::optional<balancing::Choice> chooseAmong(const rollouts::VersionFilter &versions, TimePoint now);
    [[nodiscard]] rollouts::RequestTraits rolloutTraits() const;
    /// The roll-out of the service, if it has one and the request is not at a peer; null otherwise.
    [[nodiscard]] rollouts::Rollout *rollout() const;
    /// Tells the roll-out of the service that the answer of the current dispatch has begun.
    void noteRolloutAnswer(TimePoint now);
    /// Tells it how the current dispatch has ended.
    void noteRolloutEnd(balancing::AttemptEnd how);
    /// Whether the request may be sent to an upstream again now; takes one retry from the budget if so and it was sent before.
    [[nodiscard]] bool mayRetry(TimePoint now);
    [[nodiscard]] http::ClientTimeouts dispatchTimeouts(const balancing::Choice &choice, TimePoint now) const;
    /// Time left until the deadline; negative after it.
    [[nodiscard]] Duration remainingTime(TimePoint now) const;
    [[nodiscard]] balancing::RequestProfile requestProfile() const;
    [[nodiscard]] quarantine::RequestTraits requestTraits() const;
    [[nodiscard]] ports::UpstreamPriority upstreamPriority() const;
    /// Records that the caller's estimate of the answer's length cannot be read, if that is so.
    void noteEstimate();
    /// Records that a part of the upstream's answer arrived. @p isEvent: it is an event of a stream.
    void noteFirstByte(bool isEvent);
    /// Records that events of a stream arrived.
    void noteEvents();
    /// Records the pauses of a stream that has ended.
    void countPauses();
    /// Records what an upstream's answer states about the upstream: that it leaves, and its limit on requests, if it has one.
    void noteStatements(const http::Response &upstreamResponse, const ports::ResponseMetadata &metadata);
    /// Records what the upstream states of its load, if it does.
    void noteLoad(const ports::ResponseMetadata &metadata);
    /// Records that the upstream asked for a pause, if it did. Returns whether its refusal is no sign of a failure because of that.
    bool notePause(const ports::ResponseMetadata &metadata);
    /// Records that the upstream broke off the request before or during its answer, when @p failure says so.
    void noteBroken(const http::ClientFailure &failure);
    /// Records that the upstream of the current dispatch stated that it did not run the request. Returns what that says of the upstream.
    balancing::AttemptEnd noteNotExecuted(const http::Response &response, bool pauses);
    /// Records that no answer came from the upstream of the current dispatch.
    void noteNoAnswer(const http::ClientFailure &failure);
    /// Logs the answer to another request than this one.
    void logForeignAnswer(const ports::ResponseMetadata &metadata);
    void endDispatch(balancing::AttemptEnd how);
    /// The same, while the exchange goes on with another try.
    void endTry(balancing::AttemptEnd how);
    void logOutcome(std::string_view outcome, int status, std::string_view reason);

    /// What the members of the same names hold of the current dispatch, for the try that runs beside it.
    struct OtherTry {
        std::string instance;
        directory::UpstreamEntry upstream;
        std::uint64_t balancerAttempt = 0;
        TimePoint dispatchedAt;
        std::string reason;
        bool sent = false;
        TimePoint offeredAt;
        Duration expected{0};
    };

    GatewayContext &m_context;
    StreamRegistry &m_streamRegistry;
    const http::Request m_request;
    http::IResponseWriter &m_writer;
    const std::shared_ptr<overload::AdmissionControl> m_admission;
    const bool m_fromPeer;
    const TimePoint m_handledAt; ///< When the handling began.
    const TimePoint m_arrivedAt; ///< When the request is estimated to have reached this host, from which the caller's time counts.
    ports::CallerRequest m_callerRequest;
    std::shared_ptr<const routing::RouteTable> m_routeTable;
    const routing::Route *m_route = nullptr;
    const routing::Workspace *m_workspace = nullptr;
    std::string m_service;
    std::uint64_t m_fingerprint = 0; ///< The same for repetitions of this request by its caller.
    bool m_callerWatched = false;    ///< The caller was connected when the request had been routed; its disconnect is reported from then on.
    bool m_retryTaken = false;       ///< A retry was taken from the budget and not sent yet.
    bool m_charged = false;          ///< chargeQuota() has succeeded.
    bool m_endedByStop = false;      ///< endByStop() was called.
    double m_quotaCost = 0;          ///< Cost taken from the workspace's quota, in its unit; 0 when none was taken.
    TimePoint m_deadline;            ///< The earlier of the caller's deadline and the end of the route's timeout.
    std::optional<AttemptState> m_attemptState;
    std::optional<Duration> m_retryAfter; ///< Retry-After of a rejection, before it is randomized.
    bool m_retryInVain = false;           ///< No later retry can be served either, so that the rejection names no time for one.
    bool m_retryNotEarlier = false;       ///< A retry before m_retryAfter has passed would be rejected again.
    int m_rejectionStatus = 0;
    std::string m_reason; ///< Why the request was rejected, or the last dispatch failed.

    http::MemoryShare m_heldAnswer;                            ///< Bytes of the answer that are held before they are passed on.
    std::shared_ptr<http::IExchange> m_exchange;               ///< Exchange with the upstream of the current dispatch.
    std::optional<balancing::Choice> m_successor;              ///< Takes over from the upstream of the current dispatch, in the same turn of the event loop.
    std::uint64_t m_balancerAttempt = 0;                       ///< Number of the current dispatch at the balancer.
    std::optional<OtherTry> m_otherTry;                        ///< Runs beside the current dispatch; after the race, what is known of it.
    bool m_secondIsCurrent = false;                            ///< The current dispatch is the second try.
    Duration m_secondExpected{0};                              ///< Estimated time to the answer of the second try.
    std::optional<secondtries::NotSentReason> m_secondNotSent; ///< Why the second try of the current dispatch was not sent when it was last considered.
    std::string m_secondTryResult;                             ///< What became of the second try; empty while none has ended.
    std::set<std::string> m_triedInstances;
    std::set<std::string> m_triedPeers;
    int m_connectFailures = 0;                     ///< Upstreams to which no connection could be opened.
    bool m_answerNoted = false;                    ///< Of the last dispatch, by the roll-out of the service.
    bool m_sent = false;                           ///< The request of the last dispatch was passed to an open connection.
    bool m_viaPeer = false;                        ///< The last dispatch went to a peer; it accounts for the request.
    TimePoint m_dispatchedAt;                      ///< Time at which the last dispatch was sent.
    std::string m_instance;                        ///< Upstream instance of the last dispatch.
    directory::UpstreamEntry m_upstream;           ///< Entry of that instance at the time of the dispatch.
    std::optional<std::string> m_continuedVersion; ///< The software version that began the stream, once it is known; only upstreams of it may continue it.
    std::optional<http::BodyFraming> m_framing;    ///< Of the response to the last dispatch; nothing until its head is received.
    EventSplitter m_eventSplitter;
    std::size_t m_partialEventBytes = 0;        ///< Bytes after the last complete event when the last upstream's stream ended.
    std::optional<Duration> m_firstByteLatency; ///< Time from the arrival to the first part of an upstream's response.
    TimePoint m_offeredAt;                      ///< Time at which the upstream of the last dispatch was chosen.
    Duration m_expected{0};                     ///< Expected time from then to the first part of its response.
    std::optional<Duration> m_upstreamFirst;    ///< That time as measured.
    bool m_streamNotRecorded = false;           ///< A stream had begun that could not be recorded, so that it was not passed on.
    bool m_recordWaived = false;                ///< The stream may begin at any version although this host can't record it.
    StreamPauses m_pauses;
    bool m_waitsForAnswer = false; ///< The request was admitted, and its answer has not begun.
    bool m_silenceNoted = false;   ///< The silence of the upstream of the current dispatch was recorded.
    bool m_usageCounted = false;
    std::size_t m_passedOnBytes = 0;            ///< Bytes of a stream's events that were written to the caller.
    StreamFormat m_streamFormat;                ///< Of the answer that started the stream.
    std::shared_ptr<MovableRun> m_run;          ///< The run that the stream comes from; null when it is not moved.
    std::optional<Continuation> m_continuation; ///< Where the run goes on, until it does.
    std::uint64_t m_passedOnEvents = 0;         ///< Events of a stream that may be moved that were written to the caller.
    int m_moves = 0;                            ///< Number of times that the run went on at another upstream.
    bool m_streamStarted = false;               ///< The headers of a streamed response were sent to the caller.
};

}
