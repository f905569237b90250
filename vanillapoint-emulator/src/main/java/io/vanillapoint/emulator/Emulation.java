package io.vanillapoint.emulator;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.prompt.PromptPart;
import io.vanillapoint.core.prompt.PromptShape;
import io.vanillapoint.emulator.engine.EngineModel;
import io.vanillapoint.emulator.report.RunResult;
import io.vanillapoint.emulator.scenario.RegionFigures;
import io.vanillapoint.emulator.scenario.RequestKind;
import io.vanillapoint.emulator.scenario.Scenario;
import io.vanillapoint.emulator.scenario.Trouble;
import java.util.List;
import java.util.Random;

/**
 * One run of a scenario: random arrivals of callers, the fleet and the result. The same scenario,
 * policy and seed give the same result. Confined to one thread.
 */
public final class Emulation {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Time after the last arrival in which outstanding answers may still complete. */
    private static final double TAIL_MILLIS = 15_000;

    /** Time for the VMs to discover each other before the first arrival. */
    private static final double LEAD_MILLIS = 2_000;

    private final VirtualTime time = new VirtualTime();
    private final Scenario scenario;
    private final PlacementPolicy policy;
    private final Random random;
    private final FleetModel fleet;
    private final RunResult result = new RunResult();
    private long requests;

    /**
     * Prepares a run.
     *
     * @param scenario scenario to simulate
     * @param policy placement policy
     * @param seed seed of all random numbers
     */
    public Emulation(Scenario scenario, PlacementPolicy policy, long seed) {
        this.scenario = scenario;
        this.policy = policy;
        this.random = new Random(seed);
        this.fleet = new FleetModel(time, scenario, new Random(seed + 1));
    }

    /**
     * Runs the scenario to its end.
     *
     * @return result of the run
     */
    public RunResult run() {
        for (RegionFigures region : scenario.regions()) {
            time.after(LEAD_MILLIS, () -> arrive(region));
        }
        time.runUntil(LEAD_MILLIS + scenario.seconds() * MILLIS_PER_SECOND + TAIL_MILLIS);
        for (EngineModel engine : fleet.engines()) {
            result.read(engine.readTokens(), engine.readAgainTokens());
        }
        return result;
    }

    private void arrive(RegionFigures region) {
        double second = (time.millis() - LEAD_MILLIS) / MILLIS_PER_SECOND;
        if (second >= scenario.seconds()) {
            return;
        }
        double rate = region.rate(second / scenario.seconds());
        for (Trouble trouble : scenario.troubles()) {
            boolean here = trouble.region().equals(region.name());
            if (trouble.kind() == Trouble.Kind.BURST && here && trouble.active(second)) {
                rate *= trouble.factor();
            }
        }
        RequestKind kind = kind();
        CallerModel caller =
                new CallerModel(
                        time,
                        fleet,
                        policy,
                        kind,
                        prompt(kind),
                        answerTokens(kind),
                        result.of(kind.name(), region.name()),
                        bytes -> result.crossed(bytes));
        List<VmModel> vms = fleet.vms(new RegionId(region.name()));
        caller.start(vms.get(random.nextInt(vms.size())));
        double gap = -Math.log(1 - random.nextDouble()) / Math.max(0.01, rate);
        time.after(gap * MILLIS_PER_SECOND, () -> arrive(region));
    }

    private RequestKind kind() {
        double total = scenario.kinds().stream().mapToDouble(RequestKind::share).sum();
        double point = random.nextDouble() * total;
        for (RequestKind kind : scenario.kinds()) {
            point -= kind.share();
            if (point < 0) {
                return kind;
            }
        }
        return scenario.kinds().get(0);
    }

    private PromptShape prompt(RequestKind kind) {
        int session = random.nextInt(kind.sessions());
        Random own = new Random(kind.name().hashCode() * 31L + session);
        long sessionTokens =
                Math.max(1, (long) (kind.sessionTokens() * (0.4 + 1.2 * own.nextDouble())));
        long ownTokens = Math.max(1, (long) (kind.ownTokens() * spread()));
        List<PromptPart> parts =
                List.of(
                        new PromptPart(kind.name() + "-common", kind.commonTokens()),
                        new PromptPart(kind.name() + "-s" + session, sessionTokens),
                        new PromptPart("r" + requests++, ownTokens));
        return new PromptShape(
                "m", parts, kind.commonTokens() + sessionTokens + ownTokens, answerTokens(kind));
    }

    private long answerTokens(RequestKind kind) {
        double events = kind.events() * (0.3 + 1.4 * random.nextDouble());
        return Math.max(1, (long) (events * scenario.engine().tokensPerEvent()));
    }

    /** Log-normal factor with a mean of 1, the usual distribution of prompt lengths. */
    private double spread() {
        double sigma = 0.7;
        return Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
    }
}
