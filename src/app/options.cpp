#include "app/options.hpp"

#include <google/protobuf/text_format.h>

#include <fstream>
#include <sstream>

#include "app/text_format_errors.hpp"
#include "options.pb.h"

namespace sailreel {
namespace {

ShareOption read_share(const config::Federation::Share& in) {
  return {in.team(), in.region(), in.cpus(), in.gpus()};
}

FederationOptions read_federation(const config::Federation& in) {
  FederationOptions out;
  out.region = in.region();
  for (const auto& region : in.regions())
    out.regions.push_back({region.name(), {region.address().begin(), region.address().end()}});
  for (const auto& share : in.share()) out.shares.push_back(read_share(share));
  for (const auto& share : in.adopted()) out.adopted.push_back(read_share(share));
  if (in.has_reserve_ratio()) out.reserve_ratio = in.reserve_ratio();
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
  config::OptionsFile in;
  if (!parser.ParseFromString(text.str(), &in)) throw SettingsError("options: " + errors.message);
  Options out;
  if (in.has_leader_lease_ratio()) out.leader_lease_ratio = in.leader_lease_ratio();
  if (in.has_headroom_ratio()) out.headroom_ratio = in.headroom_ratio();
  if (in.has_idle_ratio()) out.idle_ratio = in.idle_ratio();
  if (in.has_state_share()) out.state_share = in.state_share();
  if (in.has_write_share()) out.write_share = in.write_share();
  if (in.has_federation()) out.federation = read_federation(in.federation());
  check_options(out);
  return out;
}

}  // namespace sailreel
