#include "protocol/json.hpp"

#include <cmath>

namespace sailreel::json {

bool parse_object(std::string_view text, Document& out) {
  // The iterative parser: nested brackets from a hostile sender must not exhaust the stack.
  out.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseFullPrecisionFlag |
            rapidjson::kParseValidateEncodingFlag>(text.data(), text.size());
  return !out.HasParseError() && out.IsObject();
}

const Value* member(const Value& object, const char* name) {
  auto it = object.FindMember(name);
  return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

bool get(const Value& object, const char* name, std::string& out) {
  const Value* v = member(object, name);
  if (v == nullptr || !v->IsString()) return false;
  out.assign(v->GetString(), v->GetStringLength());
  return true;
}

bool get(const Value& object, const char* name, bool& out) {
  const Value* v = member(object, name);
  if (v == nullptr || !v->IsBool()) return false;
  out = v->GetBool();
  return true;
}

bool get(const Value& object, const char* name, double& out) {
  const Value* v = member(object, name);
  if (v == nullptr || !v->IsNumber()) return false;
  const double d = v->GetDouble();
  if (!std::isfinite(d) || d < 0) return false;
  out = d;
  return true;
}

bool get(const Value& object, const char* name, std::uint64_t& out) {
  const Value* v = member(object, name);
  if (v == nullptr || !v->IsUint64()) return false;
  out = v->GetUint64();
  return true;
}

std::string text(const Value& value) {
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  value.Accept(writer);
  return text(buffer);
}

}  // namespace sailreel::json
