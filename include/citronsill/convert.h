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

/// Whether running a request twice does no harm; the work class decides when the request does not.
bool IsIdempotent(const schema::Request& request, const schema::WorkClass& work_class);

/// @returns the job of a request, without deadline, with the defaults of its work class.
JobSpec MakeJob(const std::string& id, const schema::Request& request,
                const schema::WorkClass& work_class);

}  // namespace citronsill
