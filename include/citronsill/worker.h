/// Connection to one worker.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "citronsill/result.h"
#include "citronsill/runtime.h"

namespace citronsill {

/// Calls to one worker. Every call carries the epoch of its owner; the worker rejects an epoch
/// lower than the highest that it has seen with CODE_STALE_EPOCH.
class WorkerLink {
 public:
  virtual ~WorkerLink() = default;

  /// Starts a task.
  /// @param done gets the worker's response, or an error if it is not known whether the task was
  /// started.
  virtual void Start(schema::WorkerStart start,
                     std::function<void(Result<schema::WorkerResult>)> done) = 0;

  /// Stops, throttles or checkpoints a task. Idempotent.
  virtual void Control(schema::WorkerControl control,
                       std::function<void(Result<schema::WorkerResult>)> done) = 0;

  /// Renews leases, acknowledges results, and gets reports. The worker answers immediately if a
  /// result is ready, else after the wait given in `sync`.
  virtual void Sync(schema::WorkerSync sync,
                    std::function<void(Result<schema::WorkerSyncResult>)> done) = 0;
};

/// Creates the link to the worker at `address`; a hook of `Dispatcher`.
using WorkerLinkFactory =
    std::function<Result<std::unique_ptr<WorkerLink>>(const std::string& address)>;

/// HTTP back end. The links report a status other than 200 as CODE_WORKER_UNREACHABLE.
WorkerLinkFactory HttpWorkerLinks(Runtime& runtime);

}  // namespace citronsill
