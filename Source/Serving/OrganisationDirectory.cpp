#include "Serving/OrganisationDirectory.h"

#include <algorithm>

namespace turmericpass {

void OrganisationDirectory::replace(
    const std::vector<OrganisationSettings> &Settings) {
  this->Organisations.clear();
  this->Keys.clear();
  this->Organisations.reserve(Settings.size());
  std::size_t KeyCount = 0;
  for (const OrganisationSettings &Each : Settings)
    KeyCount += Each.Keys.size();
  this->Keys.reserve(KeyCount);
  for (const OrganisationSettings &Each : Settings) {
    const auto Index = static_cast<std::uint32_t>(this->Organisations.size());
    this->Organisations.push_back(
        {Each.Name, {}, Each.Priority, Each.RatePerSecond, Each.Burst});
    for (const std::string &Key : Each.Keys)
      this->Keys.push_back({sha256(Key), Index});
  }
  std::sort(this->Keys.begin(), this->Keys.end(),
            [](const KnownKey &Left, const KnownKey &Right) {
              return Left.Digest < Right.Digest;
            });
}

const OrganisationSettings *
OrganisationDirectory::find(std::string_view Key) const {
  if (Key.empty())
    return nullptr;
  const Sha256Digest Digest = sha256(Key);
  const auto Found =
      std::lower_bound(this->Keys.begin(), this->Keys.end(), Digest,
                       [](const KnownKey &Known, const Sha256Digest &Wanted) {
                         return Known.Digest < Wanted;
                       });
  if (Found == this->Keys.end() || !equalInConstantTime(Found->Digest, Digest))
    return nullptr;
  return &this->Organisations[Found->Organisation];
}

} // namespace turmericpass
