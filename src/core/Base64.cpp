#include "core/Base64.hpp"

#include <openssl/evp.h>

namespace redwing {

namespace {

constexpr std::size_t kBase64Group = 4;
constexpr std::size_t kBytesPerGroup = 3;

} // namespace

std::string
EncodeBase64(std::string_view aData)
{
  const std::size_t groups = (aData.size() + kBytesPerGroup - 1) / kBytesPerGroup;
  // EVP_EncodeBlock appends a terminating zero.
  std::string text(groups * kBase64Group + 1, '\0');
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                     reinterpret_cast<const unsigned char*>(aData.data()),
                                     static_cast<int>(aData.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

std::optional<std::string>
DecodeBase64(std::string_view aText)
{
  if (aText.empty()) {
    return std::string();
  }
  if (aText.size() % kBase64Group != 0) {
    return std::nullopt;
  }
  std::string data(aText.size() / kBase64Group * kBytesPerGroup, '\0');
  const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(data.data()),
                                     reinterpret_cast<const unsigned char*>(aText.data()),
                                     static_cast<int>(aText.size()));
  if (length < 0) {
    return std::nullopt;
  }
  // EVP_DecodeBlock counts the padding as zero bytes.
  const std::size_t padding = aText.ends_with("==") ? 2 : (aText.ends_with("=") ? 1 : 0);
  data.resize(static_cast<std::size_t>(length) - padding);
  return data;
}

} // namespace redwing
