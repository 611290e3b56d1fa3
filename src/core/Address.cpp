#include "core/Address.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace redwing {

std::string
Address::ToString() const
{
  return ip_ + ":" + std::to_string(port_);
}

std::optional<Address>
Address::Parse(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  Address address;
  address.ip_ = std::string(aText.substr(0, colon));
  in_addr parsed{};
  if (inet_pton(AF_INET, address.ip_.c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  const std::string_view port = aText.substr(colon + 1);
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port_);
  if (error != std::errc() || end != port.data() + port.size() || address.port_ == 0) {
    return std::nullopt;
  }
  return address;
}

} // namespace redwing
