#include "core/Hash.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

namespace redwing {

std::uint64_t
HashBytes(std::string_view aData)
{
  return XXH3_64bits(aData.data(), aData.size());
}

Sha256Digest
Sha256(std::string_view aData)
{
  Sha256Digest digest{};
  EVP_Digest(aData.data(), aData.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
  return digest;
}

Sha256Digest
HmacSha256(std::string_view aKey, std::string_view aData)
{
  Sha256Digest digest{};
  unsigned int length = digest.size();
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aData.data()),
       aData.size(),
       digest.data(),
       &length);
  return digest;
}

std::string
ToHex(const Sha256Digest& aDigest)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kNibbleBits = 4;
  constexpr unsigned kNibbleMask = 0xF;
  std::string text;
  text.reserve(aDigest.size() * 2);
  for (const unsigned char byte : aDigest) {
    text.push_back(kDigits[byte >> kNibbleBits]);
    text.push_back(kDigits[byte & kNibbleMask]);
  }
  return text;
}

bool
EqualConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace redwing
