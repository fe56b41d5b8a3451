#include "cell/settings.h"

namespace citronsill {

const schema::QueueSpec* FindQueue(const CellConfig& config, std::string_view host,
                                   std::string_view path) {
  const schema::QueueSpec* best = nullptr;
  for (const schema::QueueSpec& queue : config.queues) {
    if (queue.host() != host || !path.starts_with(queue.path_prefix())) continue;
    if (best == nullptr || queue.path_prefix().size() > best->path_prefix().size()) best = &queue;
  }
  return best;
}

}  // namespace citronsill
