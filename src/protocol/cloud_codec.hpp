// The cloud's API.
#pragma once

#include <string>
#include <string_view>

#include "protocol/messages.hpp"

namespace sailreel {

struct HttpRequest {
  std::string method, path, body;
};

HttpRequest encode_cloud_request(const CloudRequest& call);
/// A 200 whose body can't be read becomes status 0: what it did is unknown.
CloudResponse decode_cloud_response(const CloudRequest& call, int status, std::string_view body);

}  // namespace sailreel
