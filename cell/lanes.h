/// Lanes to the policy service. The service handles one question at a time from each instance, so
/// questions are spread over the instances that are linked to the scheduler; each of them is a
/// lane.
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

class AdviceLanes {
 public:
  using Done = std::function<void(Result<AdviceAnswer>)>;

  /// @param own asks the policy service from this instance; may be empty.
  explicit AdviceLanes(AskAdvice ask_locally);
  ~AdviceLanes();

  void Add(const LinkPtr& link);
  void Remove(const LinkPtr& link);

  /// @returns the number of free lanes. Some lanes are reserved for short questions.
  [[nodiscard]] LaneCounts Counts() const;

  /// Asks the policy service on a free lane.
  /// @param done gets CODE_OVERLOADED if no lane is free.
  void Ask(const TaskRef& step, std::vector<std::string> workers, QuestionKind kind,
           milliseconds timeout, Done done);

 private:
  // One lane for each instance, however many links lead to it.
  struct Lane {
    std::vector<LinkPtr> links;  // Empty for the lane of this instance.
    bool busy = false;
    QuestionKind kind{};
    std::uint64_t questions = 0;
  };

  Lane* PickLane(std::string* instance);
  void Release(const std::string& instance);

  AskAdvice m_ask_locally;
  std::map<std::string, Lane> m_lanes;  // By instance; "" is this instance.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// Answers a question on behalf of another instance.
void ServeAdvice(const AskAdvice& ask, const LinkPtr& link, const schema::LinkMessage& message);

}  // namespace citronsill
