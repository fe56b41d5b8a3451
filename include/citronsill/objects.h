/// Client of the platform's object store.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "citronsill/result.h"
#include "citronsill/runtime.h"

namespace citronsill {

/// The object store. Every call is idempotent and may be repeated after an error.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  /// Writes a whole object.
  /// @param done gets CODE_OBJECTS_UNAVAILABLE if it is unknown whether the object was written.
  virtual void Put(std::string key, std::string value, std::function<void(Result<void>)> done) = 0;

  /// Reads a whole object.
  /// @param done gets CODE_NOT_FOUND or CODE_OBJECTS_UNAVAILABLE.
  virtual void Get(std::string key, std::function<void(Result<std::string>)> done) = 0;

  /// Deletes an object; succeeds if it does not exist.
  virtual void Delete(std::string key, std::function<void(Result<void>)> done) = 0;
};

/// HTTP back end. @param address IP:port of the service.
Result<std::unique_ptr<ObjectStore>> CreateHttpObjects(Runtime& runtime,
                                                       const std::string& address);

}  // namespace citronsill
