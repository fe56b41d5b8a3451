/// Client of the platform's directory, which lists live and leaving instances and workers. The list
/// may be out of date.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "citronsill/result.h"
#include "citronsill/runtime.h"

namespace citronsill {

class InstanceDirectory {
 public:
  virtual ~InstanceDirectory() = default;

  /// @param done gets the list or CODE_DIRECTORY_UNAVAILABLE.
  virtual void List(std::function<void(Result<schema::Directory>)> done) = 0;
};

/// HTTP back end. @param address IP:port of the service.
Result<std::unique_ptr<InstanceDirectory>> CreateHttpDirectory(Runtime& runtime,
                                                               const std::string& address);

}  // namespace citronsill
