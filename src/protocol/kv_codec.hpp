// Codec of the consensus-backed key-value store's HTTP API.
#pragma once

#include <string_view>

#include "protocol/cloud_codec.hpp"
#include "protocol/decoded.hpp"
#include "protocol/messages.hpp"

namespace sailreel {

HttpRequest encode_kv_request(const KvRequest& request);
/// Returns an error if the store responded with status 200 and a body that can't be decoded. The
/// caller then doesn't know whether the request was carried out, as after a timeout (status 0).
Decoded<KvResponse> decode_kv_response(const KvRequest& request, int status, std::string_view body);

}  // namespace sailreel
