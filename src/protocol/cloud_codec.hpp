// Codec of the cloud provider's HTTP API.
#pragma once

#include <string>
#include <string_view>

#include "protocol/decoded.hpp"
#include "protocol/messages.hpp"

namespace sailreel {

/// An HTTP request to the cloud provider or the key-value store. An empty `body` means none.
struct HttpRequest {
  std::string method, path, body;
};

HttpRequest encode_cloud_request(const CloudRequest& request);
/// Returns an error if the cloud responded with status 200 and a body that can't be decoded. The
/// caller then doesn't know whether the request was carried out, as after a timeout (status 0).
/// List entries (machine types and machines) that lack a required field are skipped, so that one
/// malformed entry doesn't hide the others.
Decoded<CloudResponse> decode_cloud_response(const CloudRequest& request, int status,
                                             std::string_view body);

}  // namespace sailreel
