#include "http/ihttpclient.h"
#include "upstreams/internal/callfailures.h"
#include "upstreams/iupstreamcall.h"

#include <atomic>

namespace rosemaryshift::upstreams {

namespace net = boost::asio;
using decisions::AttemptOutcome;

namespace {

/// True for a header field that applies to one connection only and is not forwarded.
bool isHopByHop(std::string_view name)
{
    http::Headers headers;
    headers.add(name, "");
    for (const std::string_view field : {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "TE", "Trailer", "Upgrade", "Proxy-Connection"}) {
        if (headers.find(field)) {
            return true;
        }
    }
    return false;
}

class ServiceCall : public IUpstreamCall
{
public:
    ServiceCall(const net::any_io_executor &executor, std::shared_ptr<requests::RequestRecord> record, AttemptSpec spec)
        : m_exchange(http::makeExchange(executor))
        , m_record(std::move(record))
        , m_spec(std::move(spec))
    {
    }

    net::awaitable<AttemptResult> run() override
    {
        AttemptResult result = co_await exchange();
        m_record->transcript.release(m_spec.attempt);
        if (m_cancelled && result.outcome != AttemptOutcome::Completed) {
            result.outcome = AttemptOutcome::Cancelled;
        }
        co_return result;
    }

    void cancel() override
    {
        m_cancelled = true;
        m_exchange->cancel();
    }

private:
    net::awaitable<AttemptResult> exchange()
    {
        http::Request request = makeRequest();
        http::ClientFailure failure;
        std::optional<http::Response> response = co_await m_exchange->open(m_spec.endpoint, std::move(request), clientTimeouts(m_spec.timeouts), failure);
        if (!response) {
            co_return resultOf(failure);
        }
        const std::optional<AttemptResult> refusal = declinedResult(*response);
        if (refusal) {
            co_return *refusal;
        }
        if (!echoesAttempt(*response, m_spec)) {
            co_return AttemptResult{AttemptOutcome::Broken, "the answer belongs to another request"};
        }
        if (response->framing == http::BodyFraming::Connection) {
            co_return AttemptResult{AttemptOutcome::Broken, "the end of the answer could not be told from a cut"};
        }
        while (true) {
            const std::optional<std::string> piece = co_await m_exchange->readSome(failure);
            if (!piece) {
                co_return resultOf(failure);
            }
            if (piece->empty()) {
                co_return finish(std::move(*response));
            }
            response->body += *piece;
        }
    }

    http::Request makeRequest() const
    {
        const requests::RequestSpec &spec = m_record->spec;
        http::Request request;
        request.method = spec.method;
        request.target = spec.path;
        for (const auto &[name, value] : spec.headers) {
            request.headers.add(name, value);
        }
        if (!spec.idempotencyKey.empty()) {
            request.headers.add("Idempotency-Key", spec.idempotencyKey);
        }
        request.headers.add(AttemptHeader, m_spec.attemptName);
        request.body = spec.body;
        return request;
    }

    AttemptResult finish(http::Response response)
    {
        requests::ServiceAnswer answer;
        answer.status = response.status;
        for (const http::Header &field : response.headers.all()) {
            if (!isHopByHop(field.name)) {
                answer.headers.emplace_back(field.name, field.value);
            }
        }
        answer.body = std::move(response.body);
        const bool written = m_record->transcript.open(m_spec.attempt, 0) && m_record->transcript.finish(m_spec.attempt, std::move(answer));
        if (!written) {
            return {AttemptOutcome::Cancelled, "another attempt answered the request"};
        }
        return {AttemptOutcome::Completed, std::to_string(response.status)};
    }

    const std::shared_ptr<http::IExchange> m_exchange;
    const std::shared_ptr<requests::RequestRecord> m_record;
    const AttemptSpec m_spec;
    std::atomic<bool> m_cancelled = false;
};

}

std::shared_ptr<IUpstreamCall> makeServiceCall(const net::any_io_executor &executor, std::shared_ptr<requests::RequestRecord> record, AttemptSpec spec)
{
    return std::make_shared<ServiceCall>(executor, std::move(record), std::move(spec));
}

}
