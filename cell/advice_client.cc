#include "cell/advice_client.h"

#include <algorithm>

namespace citronsill {
namespace {

// One request slot in this many is reserved for interactive work, and one in this many of the
// others for advice requests that do not take long; at least one each, if there is more than one
// request slot.
constexpr std::uint32_t kInteractiveSlotDivisor = 8;
constexpr std::uint32_t kShortSlotDivisor = 8;

AdviceAnswer FromSchema(const schema::AdviceReply& reply) {
  AdviceAnswer answer;
  answer.valid = milliseconds(reply.valid_ms());
  for (const auto& ticket : reply.tickets()) {
    answer.tickets.push_back({ticket.worker(), ticket.ticket()});
  }
  return answer;
}

}  // namespace

AdviceClient::AdviceClient(AskAdvice ask_locally) : m_ask_locally(std::move(ask_locally)) {
  if (m_ask_locally) m_slots[""] = RequestSlot{};
}

AdviceClient::~AdviceClient() { *m_alive = false; }

void AdviceClient::Add(const LinkPtr& link) {
  m_slots[link->Peer().instance()].links.push_back(link);
}

void AdviceClient::Remove(const LinkPtr& link) {
  const auto found = m_slots.find(link->Peer().instance());
  if (found == m_slots.end()) return;
  std::erase(found->second.links, link);
  if (found->second.links.empty() && !found->first.empty()) m_slots.erase(found);
}

AdviceCapacity AdviceClient::FreeSlots() const {
  AdviceCapacity capacity;
  std::uint32_t batch_busy = 0;
  std::uint32_t long_busy = 0;
  for (const auto& [id, slot] : m_slots) {
    if (!slot.busy) ++capacity.free;
    if (slot.busy && slot.kind != AdviceRequestKind::kInteractive) ++batch_busy;
    if (slot.busy && slot.kind == AdviceRequestKind::kLong) ++long_busy;
  }
  const auto slots = static_cast<std::uint32_t>(m_slots.size());
  const auto reserved_slots = [](std::uint32_t all, std::uint32_t divisor) {
    return all > 1 ? std::max(1U, all / divisor) : 0;
  };
  const std::uint32_t max_batch = slots - reserved_slots(slots, kInteractiveSlotDivisor);
  const std::uint32_t max_long = max_batch - reserved_slots(max_batch, kShortSlotDivisor);
  const auto free_below = [&](std::uint32_t limit, std::uint32_t used) {
    return std::min(capacity.free, limit - std::min(limit, used));
  };
  capacity.free_batch = free_below(max_batch, batch_busy);
  capacity.free_long = std::min(capacity.free_batch, free_below(max_long, long_busy));
  return capacity;
}

AdviceClient::RequestSlot* AdviceClient::PickSlot(std::string* instance) {
  RequestSlot* best = nullptr;
  for (auto& [name, slot] : m_slots) {
    if (slot.busy || (best != nullptr && slot.requests >= best->requests)) continue;
    best = &slot;
    *instance = name;
  }
  return best;
}

void AdviceClient::Release(const std::string& instance) {
  const auto found = m_slots.find(instance);
  if (found != m_slots.end()) found->second.busy = false;
}

void AdviceClient::Ask(const TaskRef& step, std::vector<std::string> workers,
                       AdviceRequestKind kind, milliseconds timeout, AnswerCallback done) {
  std::string instance;
  RequestSlot* slot = PickSlot(&instance);
  if (slot == nullptr)
    return done(Error{schema::CODE_OVERLOADED, "no request slot of the policy service is free"});
  slot->busy = true;
  slot->kind = kind;
  ++slot->requests;
  if (instance.empty()) {
    m_ask_locally(step, std::move(workers), timeout,
                  [this, alive = m_alive, done](Result<AdviceAnswer> result) {
                    if (!*alive) return;
                    Release("");
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
  slot->links.back()->Call(
      std::move(message), timeout,
      [this, alive = m_alive, instance, done](const Result<schema::LinkMessage>& result) {
        if (!*alive) return;
        Release(instance);
        if (!result) return done(result.error());
        const schema::AdviceReply& reply = result.value().advice_reply();
        if (reply.code() != schema::CODE_OK) {
          return done(Error{reply.code(), reply.message()});
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
          reply->set_message(result.error().message);
        }
        link->Answer(envelope, std::move(message));
      });
}

}  // namespace citronsill
