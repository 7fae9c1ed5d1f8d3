"""Several sites of one fleet: the loss of one, what is rejected first, and its return.

Loaded only where the configuration has a [sites] table. Nothing here does I/O; times are seconds.

- `coordinator`: one worker's part in the fleet's sites; it owns all that follows.
- `peer_workers`, `site_report`: the other workers, and what workers report to each other.
- `admission_gate`, `shedding_order`, `admission_threshold`: what is rejected first, and from where on.
- `site_health`: which sites are lost, cut off or returning, by their load.
- `load_pacing`, `recovery_ramp`, `evacuation_ramp`, `load_shift`: the load that this worker asks for.
- `step_lease`: the fleet's one lease that a returning site needs for each stage.
- `operator_commands`: what operators want of a site, merged by all workers.
- `playbook` with `_check`, `_codec`, `_text` and `_exchange`: what holds when a site is lost.
- `site_events`: what is logged; `usual_load` and `rates`: what load is measured against.
- `status_view`: all of it as plain values for `/status`.
"""
