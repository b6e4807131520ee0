// The result of decoding a message or a stored value: the value, or an error that names the field.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>

namespace sailreel {

enum class DecodeErrorKind : std::uint8_t {
  /// The text is not JSON, or is JSON of another type than an object.
  NotAnObject,
  /// The field is missing, of another type, or outside the range that the protocol allows.
  InvalidField,
  /// The bytes end before the field does.
  Truncated,
  /// The bytes go on after the last field.
  TrailingBytes,
  /// The field names a format version or a kind of message that this version doesn't know.
  Unsupported,
};

/// Why something could not be decoded.
struct DecodeError {
  DecodeErrorKind kind = DecodeErrorKind::InvalidField;
  /// The name as on the wire or in the stored value, for the person who has to find it there; empty
  /// if the whole text is at fault. A view of a string literal: an error allocates nothing.
  std::string_view field;

  bool operator==(const DecodeError&) const = default;
};

/// A decoded value or the error, never both. Owns the value.
template <typename T>
class [[nodiscard]] Decoded {
 public:
  // Implicit, so that a decoder returns either without naming this type.
  Decoded(T value) : result_(std::in_place_index<0>, std::move(value)) {}
  Decoded(DecodeError error) : result_(std::in_place_index<1>, error) {}

  [[nodiscard]] bool has_value() const { return result_.index() == 0; }
  explicit operator bool() const { return has_value(); }

  /// The value. There must be one.
  [[nodiscard]] T& operator*() & { return *std::get_if<0>(&result_); }
  [[nodiscard]] const T& operator*() const& { return *std::get_if<0>(&result_); }
  [[nodiscard]] T&& operator*() && { return std::move(*std::get_if<0>(&result_)); }
  [[nodiscard]] T* operator->() { return std::get_if<0>(&result_); }
  [[nodiscard]] const T* operator->() const { return std::get_if<0>(&result_); }

  /// The error. There must be one.
  [[nodiscard]] const DecodeError& error() const { return *std::get_if<1>(&result_); }

  /// The value; `fallback` where decoding failed and the caller has no use for the reason.
  [[nodiscard]] T value_or(T fallback) && {
    return has_value() ? std::move(**this) : std::move(fallback);
  }
  /// The value without the reason for its absence.
  [[nodiscard]] std::optional<T> to_optional() && {
    if (!has_value()) return std::nullopt;
    return std::move(**this);
  }

 private:
  std::variant<T, DecodeError> result_;
};

}  // namespace sailreel
