package io.vanillapoint.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.error.ErrorCode;
import io.vanillapoint.api.error.VanillapointException;
import io.vanillapoint.api.model.Customer;
import io.vanillapoint.api.model.CustomerId;
import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.TokenGrant;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.message.Hop;
import io.vanillapoint.core.message.VisitedPath;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Permitted regions and paths of requests, independent of what VMs know of each other. */
class RouteGuardTest {
    private static final RegionId A = new RegionId("a");
    private static final RegionId B = new RegionId("b");
    private static final RegionId C = new RegionId("c");
    private static final Customer CUSTOMER =
            Customer.builder(new CustomerId("c"), new TokenGrant(1, 1))
                    .region(A, 1)
                    .region(B, 1)
                    .build();

    @Test
    void processingIsLimitedToPermittedRegions() {
        assertThat(code(RouteGuard.checkProcessing(CUSTOMER, A)), is(Optional.empty()));
        assertThat(
                code(RouteGuard.checkProcessing(CUSTOMER, C)),
                is(Optional.of(ErrorCode.REGION_NOT_PERMITTED)));
        assertThat(code(RouteGuard.checkProcessing(null, C)), is(Optional.empty()));
    }

    /**
     * Random walks over VMs and regions never visit a region twice and stay within the hop limit.
     */
    @Test
    void noPathVisitsARegionTwice() {
        Random random = new Random(11);
        for (int run = 0; run < 5_000; run++) {
            VisitedPath path = VisitedPath.empty();
            for (int step = 0; step < 10; step++) {
                RegionId region = List.of(A, B, C).get(random.nextInt(3));
                VmId vm = new VmId(region + "-" + random.nextInt(2));
                if (RouteGuard.checkForwarding(null, path, vm, region).isEmpty()) {
                    path = path.append(new Hop(vm, region));
                }
            }
            List<RegionId> regions = new ArrayList<>();
            path.hops().forEach(hop -> regions.add(hop.region()));
            assertThat(new HashSet<>(regions).size(), is(regions.size()));
            assertThat(path.hops().size() <= VisitedPath.MAX_HOPS, is(true));
        }
    }

    private static Optional<ErrorCode> code(Optional<VanillapointException> refusal) {
        return refusal.map(VanillapointException::code);
    }
}
