// Reads the fields of a JSON object and remembers the first one at fault.
#pragma once

#include <optional>

#include "protocol/decoded.hpp"
#include "protocol/json.hpp"

namespace sailreel::json {

/// Once a field was invalid, nothing more is read: the error that is returned is that of the first
/// field in the decoder's order. Field names must be string literals, as errors keep views of them.
class FieldReader {
 public:
  explicit FieldReader(const Value& object) : object_(object) {}

  /// A field that must be there and valid.
  template <typename T>
  FieldReader& required(const char* field, T& out) {
    return check(field, [&] { return get(object_, field, out); });
  }
  /// A field whose absence, or another type, leaves `out` as it is.
  template <typename T>
  FieldReader& optional(const char* field, T& out) {
    if (!error_) get(object_, field, out);
    return *this;
  }
  /// Calls `valid`, which reads the field in its own way and returns false if it is at fault.
  template <typename Valid>
  FieldReader& check(const char* field, const Valid& valid) {
    if (!error_ && !valid()) error_ = DecodeError{DecodeErrorKind::InvalidField, field};
    return *this;
  }

  [[nodiscard]] const std::optional<DecodeError>& error() const { return error_; }

 private:
  const Value& object_;
  std::optional<DecodeError> error_;
};

}  // namespace sailreel::json
