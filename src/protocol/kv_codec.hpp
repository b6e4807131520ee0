// The state service's API.
#pragma once

#include <string_view>

#include "protocol/cloud_codec.hpp"
#include "protocol/messages.hpp"

namespace sailreel {

HttpRequest encode_kv_request(const KvRequest& call);
/// A 200 whose body can't be read becomes status 0: what it did is unknown.
KvResponse decode_kv_response(const KvRequest& call, int status, std::string_view body);

}  // namespace sailreel
