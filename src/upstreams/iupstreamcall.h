#pragma once

#include "requests/requestregistry.h"
#include "upstreams/upstreamtypes.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace rosemaryshift::upstreams {

/// Called with the number of tokens received since the last call.
using ProgressCallback = std::function<void(std::uint32_t tokens)>;

/// One call to an upstream; writes the received answer to the request's transcript.
class IUpstreamCall
{
public:
    virtual ~IUpstreamCall() = default;

    /// Runs the call to completion on the executor it was made for. Precondition: called once.
    virtual boost::asio::awaitable<AttemptResult> run() = 0;
    /// Cancels the call. Thread-safe.
    virtual void cancel() = 0;
};

/// Makes a call to a model engine with OpenAI's chat completions API; generation continues after the content of the transcript.
std::shared_ptr<IUpstreamCall>
makeEngineCall(const boost::asio::any_io_executor &executor, std::shared_ptr<requests::RequestRecord> record, AttemptSpec spec, ProgressCallback progress);
/// Makes a call to a service; the answer is written to the transcript once it is complete.
std::shared_ptr<IUpstreamCall> makeServiceCall(const boost::asio::any_io_executor &executor, std::shared_ptr<requests::RequestRecord> record, AttemptSpec spec);

}
