// The result of decoding a message or a stored value: either the value, or an error that names the
// invalid field.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>

namespace sailreel {

enum class DecodeErrorKind : std::uint8_t {
  /// The text is not JSON, or it is a JSON value other than an object.
  NotAnObject,
  /// The field is missing, of another type, or outside the range that the protocol allows.
  InvalidField,
  /// The bytes end before the field does.
  Truncated,
  /// There are more bytes after the last field.
  TrailingBytes,
  /// The field holds a format version or a message kind that this version doesn't support.
  Unsupported,
  /// The text is longer than the protocol allows.
  TooLarge,
};

/// Why something could not be decoded.
struct DecodeError {
  DecodeErrorKind kind = DecodeErrorKind::InvalidField;
  /// The field's name on the wire or in the stored value, so that the sender's data can be searched
  /// for it. Empty if the text as a whole is invalid. Must be a view of a string literal, so that
  /// an error allocates no memory.
  std::string_view field;

  bool operator==(const DecodeError&) const = default;
};

/// Either a decoded value, which it owns, or the error.
template <typename T>
class [[nodiscard]] Decoded {
 public:
  // The constructors are implicit so that a decoder can return a value or an error directly.
  Decoded(T value) : result_(std::in_place_index<0>, std::move(value)) {}
  Decoded(DecodeError error) : result_(std::in_place_index<1>, error) {}

  [[nodiscard]] bool has_value() const { return result_.index() == 0; }
  explicit operator bool() const { return has_value(); }

  /// The value. Requires `has_value()`.
  [[nodiscard]] T& operator*() & { return *std::get_if<0>(&result_); }
  [[nodiscard]] const T& operator*() const& { return *std::get_if<0>(&result_); }
  [[nodiscard]] T&& operator*() && { return std::move(*std::get_if<0>(&result_)); }
  [[nodiscard]] T* operator->() { return std::get_if<0>(&result_); }
  [[nodiscard]] const T* operator->() const { return std::get_if<0>(&result_); }

  /// The error. Requires `!has_value()`.
  [[nodiscard]] const DecodeError& error() const { return *std::get_if<1>(&result_); }

  /// The value, or `fallback` if decoding failed. The error is discarded.
  [[nodiscard]] T value_or(T fallback) && {
    return has_value() ? std::move(**this) : std::move(fallback);
  }
  /// The value, or nothing if decoding failed. The error is discarded.
  [[nodiscard]] std::optional<T> to_optional() && {
    if (!has_value()) return std::nullopt;
    return std::move(**this);
  }

 private:
  std::variant<T, DecodeError> result_;
};

}  // namespace sailreel
