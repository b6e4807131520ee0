// Codec of the consensus-backed key-value store's HTTP API.
#pragma once

#include <string_view>

#include "protocol/cloud_codec.hpp"
#include "protocol/decoded.hpp"
#include "protocol/messages.hpp"

namespace sailreel {

HttpRequest encode_kv_request(const KvRequest& call);
/// An error means that the store said 200 in a body that can't be decoded: what the request did is
/// unknown, as after a timeout (status 0).
Decoded<KvResponse> decode_kv_response(const KvRequest& call, int status, std::string_view body);

}  // namespace sailreel
