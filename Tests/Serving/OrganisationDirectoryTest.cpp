#include "Serving/OrganisationDirectory.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <set>

using namespace turmericpass;

// Guards against a key that is found for another organisation, that is found
// although it is only similar to a known one, or that is not found.
Test(OrganisationDirectory, EachKeyBelongsToItsOrganisation) {
  const bool Holds = rc::check("keys and organisations", [] {
    const auto Keys = *rc::gen::unique<std::vector<std::string>>(
        rc::gen::nonEmpty<std::string>());
    std::vector<OrganisationSettings> Settings(3);
    for (std::size_t I = 0; I < Keys.size(); ++I)
      Settings[I % 3].Keys.push_back(Keys[I]);
    for (std::size_t I = 0; I < 3; ++I)
      Settings[I].Name = "o" + std::to_string(I);
    OrganisationDirectory Directory;
    Directory.replace(Settings);
    const std::set<std::string> Known(Keys.begin(), Keys.end());
    for (std::size_t I = 0; I < Keys.size(); ++I) {
      RC_ASSERT(Directory.find(Keys[I]));
      RC_ASSERT(Directory.find(Keys[I])->Name == "o" + std::to_string(I % 3));
      RC_ASSERT(Directory.find(Keys[I])->Keys.empty());
      for (const std::string &Other :
           {Keys[I] + "x", "x" + Keys[I], Keys[I].substr(1)})
        RC_ASSERT(Known.contains(Other) || !Directory.find(Other));
    }
    RC_ASSERT(!Directory.find(""));
  });
  cr_assert(Holds);
}

// Guards against a removed key that stays valid, and against an organisation
// that loses its limits or its priority.
Test(OrganisationDirectory, NewSettingsReplaceAllKeys) {
  OrganisationDirectory Directory;
  cr_assert(Directory.isEmpty());
  Directory.replace({{"a", {"k1", "k2"}, 1, 5, 6}, {"b", {"k3"}, {}, 0, 0}});
  cr_assert_not(Directory.isEmpty());
  cr_assert_eq(Directory.find("k2")->Priority, 1);
  cr_assert_eq(Directory.find("k2")->RatePerSecond, 5);
  cr_assert_eq(Directory.find("k2")->Burst, 6);
  Directory.replace({{"b", {"k2"}, {}, 0, 0}});
  cr_assert_not(Directory.find("k1"));
  cr_assert_not(Directory.find("k3"));
  cr_assert_str_eq(Directory.find("k2")->Name.c_str(), "b");
  Directory.replace({});
  cr_assert(Directory.isEmpty());
  cr_assert_not(Directory.find("k2"));
}
