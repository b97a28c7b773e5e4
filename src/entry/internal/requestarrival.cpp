#include "entry/internal/requestarrival.h"

#include "base/coretime.h"
#include "quarantine/requestfingerprint.h"

namespace rosemaryshift::entry {

decisions::RequestArrived arrivalEvent(const requests::RequestRecord &record, WorkspaceId workspace, TargetId target)
{
    const requests::RequestSpec &spec = record.spec;
    decisions::RequestArrived event{};
    event.request = record.number;
    event.workspace = workspace;
    event.trafficClass = spec.trafficClass;
    event.target = target;
    event.deadline = coreTime(record.arrivedAt + spec.deadline);
    if (spec.firstToken.count() > 0 && spec.trafficClass != TrafficClass::Plan) {
        event.firstTokenDeadline = coreTime(record.arrivedAt + spec.firstToken);
    }
    event.promptTokens = spec.promptTokens;
    event.prefixHash = spec.prefixHash;
    event.expectedTokens = spec.maxTokens;
    event.tokensDone = static_cast<std::uint32_t>(record.transcript.prefix().tokens);
    event.idempotent = spec.idempotent;
    event.targetName = spec.target;
    event.fingerprint = quarantine::requestFingerprint({spec.workspace, spec.target, spec.method, spec.path, spec.body});
    return event;
}

}
