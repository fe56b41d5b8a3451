/// Lanes to the policy service: it takes one question at a time from each instance, so questions
/// are spread over the instances that are linked to the scheduler.
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

  /// @param own asks from this instance; may be empty.
  explicit AdviceLanes(AskAdvice own);
  ~AdviceLanes();

  void Add(const LinkPtr& link);
  void Remove(const LinkPtr& link);

  /// @returns how many there are and are free. Some are kept for questions that take short.
  [[nodiscard]] LaneCounts Counts() const;

  /// Asks on a free lane.
  /// @param done gets CODE_OVERLOADED when there is none.
  void Ask(const TaskRef& step, std::vector<std::string> workers, QuestionKind kind,
           milliseconds timeout, Done done);

 private:
  // One for each instance, whatever the number of links to it.
  struct Lane {
    std::vector<LinkPtr> links;  // Empty for the own one.
    bool busy = false;
    QuestionKind kind{};
    std::uint64_t questions = 0;
  };

  Lane* PickLane(std::string* instance);
  void Release(const std::string& instance);

  AskAdvice m_own;
  std::map<std::string, Lane> m_lanes;  // By instance; the own one is "".
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// Carries out a question of another instance.
void ServeAdvice(const AskAdvice& ask, const LinkPtr& link, const schema::LinkMessage& message);

}  // namespace citronsill
