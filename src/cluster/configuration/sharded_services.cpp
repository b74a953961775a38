#include "cluster/configuration/sharded_services.h"

namespace shaletray::configuration {

ServiceNames sharded_services(const Configuration& configuration) {
    ServiceNames names;
    for (const Service& service : configuration.services)
        if (service.is_sharded) names.insert(service.name);
    return names;
}

}    // namespace shaletray::configuration
