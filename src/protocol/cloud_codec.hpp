// Codec of the cloud provider's HTTP API.
#pragma once

#include <string>
#include <string_view>

#include "protocol/decoded.hpp"
#include "protocol/messages.hpp"

namespace sailreel {

struct HttpRequest {
  std::string method, path, body;
};

HttpRequest encode_cloud_request(const CloudRequest& call);
/// An error means that the cloud said 200 in a body that can't be decoded: what the request did is
/// unknown, as after a timeout (status 0). Machine types and machines of a list that lack a field
/// are left out: one broken entry must not hide the others.
Decoded<CloudResponse> decode_cloud_response(const CloudRequest& call, int status,
                                             std::string_view body);

}  // namespace sailreel
