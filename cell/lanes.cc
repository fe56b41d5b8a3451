#include "cell/lanes.h"

#include <algorithm>

namespace citronsill {
namespace {

// Of the lanes, this part is kept for questions that take short.
constexpr std::uint32_t kShortLaneDivisor = 4;

AdviceAnswer FromSchema(const schema::AdviceReply& reply) {
  AdviceAnswer answer;
  answer.valid = milliseconds(reply.valid_ms());
  for (const auto& ticket : reply.tickets()) {
    answer.tickets.push_back({ticket.worker(), ticket.ticket()});
  }
  return answer;
}

}  // namespace

AdviceLanes::AdviceLanes(AskAdvice own) : m_own(std::move(own)) {
  if (m_own) m_lanes[++m_last_id] = Lane{};
}

void AdviceLanes::Add(const LinkPtr& link) { m_lanes[++m_last_id] = Lane{link}; }

void AdviceLanes::Remove(const LinkPtr& link) {
  std::erase_if(m_lanes, [&](const auto& entry) { return entry.second.link == link; });
}

std::pair<std::uint32_t, std::uint32_t> AdviceLanes::Free() const {
  std::uint32_t free = 0;
  std::uint32_t busy_long = 0;
  for (const auto& [id, lane] : m_lanes) {
    if (!lane.busy) ++free;
    if (lane.has_long) ++busy_long;
  }
  const auto lanes = static_cast<std::uint32_t>(m_lanes.size());
  const std::uint32_t kept = lanes > 1 ? std::max(1U, lanes / kShortLaneDivisor) : 0;
  const std::uint32_t most_long = lanes - kept;
  const std::uint32_t free_long = most_long - std::min(most_long, busy_long);
  return {free, std::min(free, free_long)};
}

AdviceLanes::Lane* AdviceLanes::PickLane() {
  Lane* best = nullptr;
  for (auto& [id, lane] : m_lanes) {
    if (lane.busy) continue;
    if (best == nullptr || lane.questions < best->questions) best = &lane;
  }
  return best;
}

void AdviceLanes::Release(std::uint64_t id) {
  const auto found = m_lanes.find(id);
  if (found == m_lanes.end()) return;
  found->second.busy = false;
  found->second.has_long = false;
}

void AdviceLanes::Ask(const TaskRef& step, std::vector<std::string> workers, bool is_long,
                      milliseconds timeout, Done done) {
  Lane* lane = PickLane();
  if (lane == nullptr) return done(Error{schema::CODE_OVERLOADED, "no lane is free"});
  lane->busy = true;
  lane->has_long = is_long;
  ++lane->questions;
  const auto id = std::find_if(m_lanes.begin(), m_lanes.end(),
                               [lane](const auto& entry) { return &entry.second == lane; })
                      ->first;
  if (!lane->link) {
    m_own(step, std::move(workers), timeout, [this, id, done](Result<AdviceAnswer> result) {
      Release(id);
      done(std::move(result));
    });
    return;
  }
  schema::LinkMessage message;
  schema::AdviceCall* call = message.mutable_advice();
  call->set_job(step.job);
  call->set_occurrence(step.occurrence);
  call->set_step(step.step);
  call->set_timeout_ms(timeout.count());
  for (std::string& worker : workers) call->add_workers(std::move(worker));
  lane->link->Call(std::move(message), timeout,
                   [this, id, done](const Result<schema::LinkMessage>& result) {
                     Release(id);
                     if (!result) return done(result.error());
                     const schema::AdviceReply& reply = result.value().advice_reply();
                     if (reply.code() != schema::CODE_OK) {
                       return done(Error{reply.code(), "the policy service did not answer"});
                     }
                     done(FromSchema(reply));
                   });
}

void ServeAdvice(const AskAdvice& ask, const LinkPtr& link, const schema::LinkMessage& message) {
  const schema::AdviceCall& call = message.advice();
  schema::LinkMessage envelope;
  envelope.set_call(message.call());
  if (!ask) {
    schema::LinkMessage reply;
    reply.mutable_advice_reply()->set_code(schema::CODE_NOT_FOUND);
    return link->Answer(envelope, std::move(reply));
  }
  ask(TaskRef{call.job(), call.occurrence(), call.step(), 0},
      {call.workers().begin(), call.workers().end()}, milliseconds(call.timeout_ms()),
      [link, envelope](const Result<AdviceAnswer>& result) {
        schema::LinkMessage message;
        schema::AdviceReply* reply = message.mutable_advice_reply();
        if (result) {
          reply->set_valid_ms(result.value().valid.count());
          for (const Ticket& ticket : result.value().tickets) {
            schema::AdviceTicket* out = reply->add_tickets();
            out->set_worker(ticket.worker);
            out->set_ticket(ticket.ticket);
          }
        } else {
          reply->set_code(result.error().code);
        }
        link->Answer(envelope, std::move(message));
      });
}

}  // namespace citronsill
