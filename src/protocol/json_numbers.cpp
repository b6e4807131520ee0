#include "protocol/json_numbers.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <system_error>

namespace sailreel::json {
namespace {

constexpr std::string_view kDigits = "0123456789";
constexpr std::string_view kNumberCharacters = "+-.0123456789eE";
/// RapidJSON reports longer numbers as too big, whatever their value is.
constexpr std::size_t kMaxPlainNumberBytes = 308;

/// Removes the digits at the start of `text`. Returns whether there were any.
bool consume_digits(std::string_view& text) {
  const std::size_t count = std::min(text.find_first_not_of(kDigits), text.size());
  text.remove_prefix(count);
  return count > 0;
}

/// Removes the first character if it is one of `characters`.
bool consume_one_of(std::string_view& text, std::string_view characters) {
  if (text.empty() || characters.find(text.front()) == std::string_view::npos) return false;
  text.remove_prefix(1);
  return true;
}

bool follows_grammar(std::string_view number) {
  consume_one_of(number, "-");
  if (!consume_one_of(number, "0") && !consume_digits(number)) return false;
  if (consume_one_of(number, ".") && !consume_digits(number)) return false;
  if (consume_one_of(number, "eE")) {
    consume_one_of(number, "+-");
    if (!consume_digits(number)) return false;
  }
  return number.empty();
}

/// The offset behind the string that begins at `begin`.
std::size_t end_of_string(std::string_view text, std::size_t begin) {
  for (std::size_t i = begin + 1; i < text.size(); ++i) {
    if (text[i] == '\\')
      ++i;
    else if (text[i] == '"')
      return i + 1;
  }
  return text.size();
}

}  // namespace

double nearest_double(std::string_view number) {
  double value = 0;
  const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), value);
  // std::from_chars doesn't say whether a number out of range is too large or too small.
  return error == std::errc() ? value : std::strtod(number.data(), nullptr);
}

std::vector<ExtractedNumber> extract_large_numbers(std::string& text) {
  std::vector<ExtractedNumber> extracted;
  constexpr std::string_view kTokenStarts = "\"-0123456789";
  std::size_t begin = text.find_first_of(kTokenStarts);
  while (begin != std::string::npos) {
    if (text[begin] == '"') {
      begin = text.find_first_of(kTokenStarts, end_of_string(text, begin));
      continue;
    }
    const std::size_t end = std::min(text.find_first_not_of(kNumberCharacters, begin), text.size());
    const std::string_view number = std::string_view(text).substr(begin, end - begin);
    const bool large = number.size() > kMaxPlainNumberBytes ||
                       number.find_first_of("eE") != std::string_view::npos;
    if (large && follows_grammar(number)) {
      extracted.push_back({begin, nearest_double(number)});
      std::fill(text.begin() + static_cast<std::ptrdiff_t>(begin),
                text.begin() + static_cast<std::ptrdiff_t>(end), ' ');
      text[begin] = '0';
    }
    begin = text.find_first_of(kTokenStarts, end);
  }
  return extracted;
}

}  // namespace sailreel::json
