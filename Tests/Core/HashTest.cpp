#include "Core/Hash.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace turmericpass;

// Guards against a hash that differs between builds. Nodes of two releases
// would then disagree on the owner of a server.
Test(Hash, IsTheSameInEveryBuild) {
  cr_assert(hash64("turmericpass") == hash64("turmericpass"));
  cr_assert(hash64("") == 0xEF46DB3751D8E999ULL);
}

Test(Hash, Sha256OfKnownText) {
  cr_assert(sha256Hex("abc") ==
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against unnecessary moves of servers when one node is removed.
Test(Rendezvous, LossOfACandidateMovesOnlyItsKeys) {
  cr_assert(rc::check([](const std::string &Key) {
    const std::vector<std::string> All = {"a1", "a2", "a3", "a4"};
    const std::string &Picked = All[rendezvousPick(Key, All)];
    for (const std::string &Removed : All) {
      if (Removed == Picked)
        continue;
      std::vector<std::string> Remaining;
      for (const std::string &Name : All)
        if (Name != Removed)
          Remaining.push_back(Name);
      RC_ASSERT(Remaining[rendezvousPick(Key, Remaining)] == Picked);
    }
  }));
}

Test(Rendezvous, NoCandidateGivesNone) {
  cr_assert(rendezvousPick("key", {}) == -1);
}
