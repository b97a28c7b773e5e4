#pragma once

#include "requests/requestregistry.h"
#include "upstreams/upstreamtypes.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace rosemaryshift::upstreams {

/// Called with the number of tokens that came since the last call.
using ProgressCallback = std::function<void(std::uint32_t tokens)>;

/// One call to an upstream; writes what it gets into the request's transcript.
class IUpstreamCall
{
public:
    virtual ~IUpstreamCall() = default;

    /// Runs the call to its end on the executor it was made for. Precondition: called once.
    virtual boost::asio::awaitable<AttemptResult> run() = 0;
    /// Ends the call early. Thread-safe.
    virtual void cancel() = 0;
};

/// Makes a call to a model engine that speaks OpenAI's chat API; it resumes behind what the transcript holds.
std::shared_ptr<IUpstreamCall>
makeEngineCall(const boost::asio::any_io_executor &executor, std::shared_ptr<requests::RequestRecord> record, AttemptSpec spec, ProgressCallback progress);
/// Makes a call to a plain service.
std::shared_ptr<IUpstreamCall> makeServiceCall(const boost::asio::any_io_executor &executor, std::shared_ptr<requests::RequestRecord> record, AttemptSpec spec);

}
