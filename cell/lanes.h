/// Lanes to the policy service: it takes one question at a time from each instance, so questions
/// are spread over the instances that are linked to the scheduler.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cell/link.h"
#include "cell/worker.h"

namespace citronsill {

class AdviceLanes {
 public:
  using Done = std::function<void(Result<AdviceAnswer>)>;

  /// @param own asks from this instance; may be empty.
  explicit AdviceLanes(AskAdvice own);

  void Add(const LinkPtr& link);
  void Remove(const LinkPtr& link);

  /// @returns lanes without a question, and how many of them may take one that lasts long. Some are
  /// kept for short questions.
  [[nodiscard]] std::pair<std::uint32_t, std::uint32_t> Free() const;

  /// Asks on a free lane.
  /// @param done gets CODE_OVERLOADED when there is none.
  void Ask(const TaskRef& step, std::vector<std::string> workers, bool is_long,
           milliseconds timeout, Done done);

 private:
  struct Lane {
    LinkPtr link;  // Null for the own one.
    bool busy = false;
    bool has_long = false;
    std::uint64_t questions = 0;
  };

  Lane* PickLane();
  void Release(std::uint64_t id);

  AskAdvice m_own;
  std::map<std::uint64_t, Lane> m_lanes;
  std::uint64_t m_last_id = 0;
};

/// Carries out a question of another instance.
void ServeAdvice(const AskAdvice& ask, const LinkPtr& link, const schema::LinkMessage& message);

}  // namespace citronsill
