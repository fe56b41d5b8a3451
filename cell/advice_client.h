/// Client of the policy service. The service handles one request at a time from each instance, so
/// advice requests are spread over the scheduler's own instance and those that are linked to it.
/// Each of these instances provides one request slot of the policy service.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cell/link.h"
#include "cell/scheduler.h"
#include "cell/worker.h"

namespace citronsill {

class AdviceClient {
 public:
  using AnswerCallback = std::function<void(Result<AdviceAnswer>)>;

  /// @param ask_locally asks the policy service from this instance; may be empty.
  explicit AdviceClient(AskAdvice ask_locally);
  ~AdviceClient();

  void Add(const LinkPtr& link);
  void Remove(const LinkPtr& link);

  /// @returns the number of free request slots. Some are reserved for short requests.
  [[nodiscard]] AdviceCapacity FreeSlots() const;

  /// Sends a request to the policy service on a free slot.
  /// @param done gets the answer, CODE_OVERLOADED if no request slot is free, or the error of the
  /// policy service or of the link.
  void Ask(const TaskRef& step, std::vector<std::string> workers, AdviceRequestKind kind,
           milliseconds timeout, AnswerCallback done);

 private:
  // One request slot of the policy service for each instance, however many links lead to it.
  struct RequestSlot {
    std::vector<LinkPtr> links;  // Empty for the slot of this instance.
    bool busy = false;
    AdviceRequestKind kind{};
    std::uint64_t requests = 0;  // Number of requests so far.
  };

  // @returns the free slot with the fewest requests so far, and its instance; null if none is free.
  RequestSlot* PickSlot(std::string* instance);
  void Release(const std::string& instance);

  AskAdvice m_ask_locally;
  std::map<std::string, RequestSlot> m_slots;  // By instance; "" is this instance.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// Carries out an advice request of another instance and answers it; with CODE_NOT_FOUND if this
/// instance does not use the policy service (`ask` is empty).
void ServeAdvice(const AskAdvice& ask, const LinkPtr& link, const schema::LinkMessage& message);

}  // namespace citronsill
