#include "app/options.hpp"

#include <google/protobuf/text_format.h>

#include <fstream>
#include <sstream>

#include "app/text_format_errors.hpp"
#include "options.pb.h"

namespace sailreel {
namespace {

ShareOption read_share(const config::Federation::Share& share) {
  return {share.team(), share.region(), share.cpus(), share.gpus()};
}

FederationOptions read_federation(const config::Federation& federation) {
  FederationOptions out;
  out.region = federation.region();
  for (const auto& region : federation.regions())
    out.regions.push_back({region.name(), {region.address().begin(), region.address().end()}});
  for (const auto& share : federation.share()) out.shares.push_back(read_share(share));
  for (const auto& share : federation.adopted()) out.adopted.push_back(read_share(share));
  if (federation.has_reserve_ratio()) out.reserve_ratio = federation.reserve_ratio();
  if (!out.enabled()) throw SettingsError("options: federation: no regions");
  return out;
}

}  // namespace

Options load_options(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    // Reading an empty file sets the stream's failbit, although an empty file is valid. Only a file
    // that can't be opened is an error.
    if (!file.is_open()) throw SettingsError("options: cannot read " + path);
  }
  FirstErrorCollector errors;
  google::protobuf::TextFormat::Parser parser;
  parser.RecordErrorsTo(&errors);
  config::OptionsFile parsed;
  if (!parser.ParseFromString(text.str(), &parsed))
    throw SettingsError("options: " + errors.message);
  Options out;
  if (parsed.has_leader_lease_ratio()) out.leader_lease_ratio = parsed.leader_lease_ratio();
  if (parsed.has_headroom_ratio()) out.headroom_ratio = parsed.headroom_ratio();
  if (parsed.has_idle_ratio()) out.idle_ratio = parsed.idle_ratio();
  if (parsed.has_state_share()) out.state_share = parsed.state_share();
  if (parsed.has_write_share()) out.write_share = parsed.write_share();
  if (parsed.has_federation()) out.federation = read_federation(parsed.federation());
  check_options(out);
  return out;
}

}  // namespace sailreel
