/// Conversions between schema messages and the plain types of the library.
#pragma once

#include "citronsill/engine.h"
#include "citronsill/types.h"

namespace citronsill::schema {
class Resources;
}

namespace citronsill {

schema::TaskRef ToRef(const TaskKey& task);
TaskKey ToKey(const schema::TaskRef& ref);

Resources ToResources(const schema::Resources& message);
void SetResources(const Resources& resources, schema::Resources* message);

TaskOutcome ToOutcome(schema::TaskEnd end);
schema::TaskEnd ToTaskEnd(TaskOutcome outcome);

/// Names a worker together with its incarnation, so that a worker that restarted and forgot its
/// tasks is told apart. An incarnation of 0 is left out.
std::string WorkerRef(const std::string& worker, std::uint64_t incarnation);

/// @returns id and incarnation of a `WorkerRef`.
std::pair<std::string, std::uint64_t> ParseWorkerRef(const std::string& ref);

/// Whether running a request twice does no harm; the work class decides when the request does not.
bool IsIdempotent(const schema::Request& request, const schema::WorkClass& work_class);

/// @returns the job of a request, without deadline, with the defaults of its work class.
JobSpec MakeJob(const std::string& id, const schema::Request& request,
                const schema::WorkClass& work_class);

}  // namespace citronsill
