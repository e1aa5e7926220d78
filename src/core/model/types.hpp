/// All plain data of the model, for directories beyond the core that handle most of it (wire,
/// state, agents, stand-ins). The core itself includes what it uses.
#pragma once

#include "core/model/agent_timings.hpp"
#include "core/model/heartbeat.hpp"
#include "core/model/image.hpp"
#include "core/model/job_spec.hpp"
#include "core/model/listed_machine.hpp"
#include "core/model/machine_type.hpp"
#include "core/model/resources.hpp"
#include "core/model/scale_out_request.hpp"
#include "core/model/service_level_objectives.hpp"
#include "core/model/team.hpp"
#include "core/model/time.hpp"
