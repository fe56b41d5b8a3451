#include "cell/config_push.h"

#include <utility>

namespace citronsill {

schema::ConfigPush MakeConfigPush(const CellConfig& config) {
  schema::ConfigPush push;
  push.set_version(config.version);
  push.set_text(config.text_without_keys.empty() ? config.text : config.text_without_keys);
  for (schema::CustomerKeys& keys : config.customers->Keys()) *push.add_keys() = std::move(keys);
  return push;
}

Result<CellConfigPtr> ReadConfigPush(
    const std::function<Result<CellConfigPtr>(const std::string&)>& read,
    const schema::ConfigPush& push) {
  BOOST_OUTCOME_TRY(CellConfigPtr config, read(push.text()));
  if (!config->keys_are_removed || config->customers->IsEmpty()) return config;
  if (push.keys().empty()) {
    return Error{schema::CODE_INVALID_FIELD,
                 "the customers have no keys: an instance of an earlier "
                 "version has passed the configuration on"};
  }
  auto with_keys = std::make_shared<CellConfig>(*config);
  with_keys->customers = config->customers->WithKeys(push.keys());
  return CellConfigPtr(std::move(with_keys));
}

}  // namespace citronsill
