// sailreel-capacity: computes the resources that a plan needs from measurements.
#include <CLI/CLI.hpp>
#include <iostream>

#include "capacity/table.hpp"

// NOLINTNEXTLINE(bugprone-exception-escape): CLI11 may throw anything; that ends the process
int main(int argc, char** argv) {
  constexpr int kExitInvalidInput = 2;
  CLI::App app{
      "Computes the resources that a plan needs from measurements, as tables in Markdown."};
  std::string plan, measurements;
  app.add_option("--plan", plan, "Plan with targets (protobuf text format)")->required();
  app.add_option("--measured", measurements, "Measurements (protobuf text format)")->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitInvalidInput;
  }
  try {
    std::cout << sailreel::capacity::tables(sailreel::capacity::load_measurements(measurements),
                                            sailreel::scale::load_plan(plan));
  } catch (const sailreel::scale::PlanError& error) {
    std::cerr << "sailreel-capacity: " << error.what() << '\n';
    return kExitInvalidInput;
  }
  return 0;
}
