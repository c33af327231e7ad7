#ifndef TURMERICPASS_JOBS_OBJECTREADER_H
#define TURMERICPASS_JOBS_OBJECTREADER_H

#include "Core/Error.h"

#include <functional>
#include <string>
#include <vector>

namespace turmericpass {

class ObjectStore;

using ObjectsDone = std::function<void(Result<std::vector<std::string>>)>;

/// Reads the objects called \p Names, a few at a time, and gives their bytes
/// in the order of the names. Errors: those of the first failed read.
void readObjects(ObjectStore &Objects, std::vector<std::string> Names,
                 ObjectsDone Done);

} // namespace turmericpass

#endif
