#include "store/Gateway.hpp"

#include <CLI/CLI.hpp>
#include <iostream>

int
main(int aCount, char** aArguments)
{
  std::string address;
  std::string control;
  CLI::App app{ "In-memory stand-in for an etcd-like store" };
  app.add_option("--address", address, "IP:PORT of the store interface")->required();
  app.add_option("--control-address", control, "IP:PORT of the control interface")->required();
  CLI11_PARSE(app, aCount, aArguments);
  try {
    boost::asio::io_context io(1);
    redwing::standins::Gateway gateway(
      io,
      redwing::standins::RequireAddress(address, "--address"),
      redwing::standins::RequireAddress(control, "--control-address"));
    io.run();
  } catch (const std::exception& error) {
    std::cerr << "redwing-store-standin: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
