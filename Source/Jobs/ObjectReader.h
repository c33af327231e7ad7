#ifndef TURMERICPASS_JOBS_OBJECTREADER_H
#define TURMERICPASS_JOBS_OBJECTREADER_H

#include "Core/Error.h"

#include <functional>
#include <string>
#include <vector>

namespace turmericpass {

class ObjectStore;

using ObjectsDone = std::function<void(Result<std::vector<std::string>>)>;

/// Reads the objects with the names \p Names, a few at a time, and passes their
/// bytes to \p Done in the order of the names. Errors: those of the first read
/// that failed.
void readObjects(ObjectStore &Objects, std::vector<std::string> Names,
                 ObjectsDone Done);

} // namespace turmericpass

#endif
