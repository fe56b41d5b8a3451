#include <fmt/format.h>

#include "citronsill/log.h"

namespace citronsill {
namespace {

constexpr std::size_t kMaxLogTextBytes = 128;

}  // namespace

std::string LogText(const std::string& value) {
  std::string text = "\"";
  for (const char c : value.substr(0, kMaxLogTextBytes)) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte == '"' || byte == '\\') {
      text += '\\';
      text += c;
    } else if (byte < 0x20U || byte >= 0x7FU) {
      text += fmt::format("\\x{:02x}", byte);
    } else {
      text += c;
    }
  }
  return text + (value.size() > kMaxLogTextBytes ? "...\"" : "\"");
}

}  // namespace citronsill
