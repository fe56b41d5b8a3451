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

/// @returns kFailed for TASK_END_FAILED and for all values without a counterpart.
TaskOutcome ToOutcome(schema::TaskEnd end);
/// @returns TASK_END_FAILED for kFailed and for all values without a counterpart.
schema::TaskEnd ToTaskEnd(TaskOutcome outcome);

/// @returns "ID@INCARNATION", with 16 hexadecimal digits. The incarnation distinguishes a worker
/// that restarted and lost its tasks; an incarnation of 0 is left out.
std::string WorkerRef(const std::string& worker, std::uint64_t incarnation);

/// @returns id and incarnation of a `WorkerRef`; the incarnation is 0 if `ref` has none.
std::pair<std::string, std::uint64_t> ParseWorkerRef(const std::string& ref);

/// @returns whether a request is safe to run twice; its work class decides if the request does not
/// say.
bool IsIdempotent(const schema::Request& request, const schema::WorkClass& work_class);

/// @returns the job of a request, without a deadline; missing values come from its work class.
JobSpec MakeJob(const std::string& id, const schema::Request& request,
                const schema::WorkClass& work_class);

}  // namespace citronsill
