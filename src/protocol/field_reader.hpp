// Reads the fields of a JSON object and records the first invalid one.
#pragma once

#include <optional>

#include "protocol/decoded.hpp"
#include "protocol/json.hpp"

namespace sailreel::json {

/// Reads fields in the order of the calls and stops at the first invalid one, whose error it keeps.
/// Field names must be string literals, because errors keep views of them.
class FieldReader {
 public:
  explicit FieldReader(const Value& object) : object_(object) {}

  /// Reads a field that must be present and valid.
  template <typename T>
  FieldReader& required(const char* field, T& out) {
    return check(field, [&] { return get(object_, field, out); });
  }
  /// Reads a field into `out`. If it is missing or of another type, `out` stays unchanged.
  template <typename T>
  FieldReader& optional(const char* field, T& out) {
    if (!error_) get(object_, field, out);
    return *this;
  }
  /// Calls `valid`, which reads the field itself and returns false if the field is invalid.
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
