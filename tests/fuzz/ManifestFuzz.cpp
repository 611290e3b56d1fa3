#include "FuzzTarget.hpp"
#include "platform/ManifestDecoder.hpp"

using namespace redwing;
using redwing::fuzz::Require;

int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const auto decoded = platform::DecodeManifest(fuzz::View(aData, aSize));
  if (decoded) {
    Require(decoded->revision_ > 0, "a valid manifest has a version");
    for (const Route& route : decoded->configuration_.routes_) {
      Require(route.timeout_.count() > 0, "a route has a timeout");
      Require(!route.service_.empty() || !route.split_.empty(), "a route leads to a service");
    }
  } else {
    Require(!decoded.error().empty(), "a rejected manifest has findings");
  }
  return 0;
}
